package org.fuchsiadeck.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.fuchsiadeck.cli.state.OperatorCalls;
import org.fuchsiadeck.node.platform.HttpAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTest {
    private final List<String> asked = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "config",
                "config nonsense",
                "config apply",
                "config show --revision x",
                "config show --platform here",
                "config diff",
                "config explain --at noon",
                "dump --node 127.0.0.1:9000",
                "dump --node 127.0.0.1:9000 --token-file /nonexistent",
                "node",
                "testbed",
                "testbed --preset howrah --spec a.json"
            })
    void wrongUseEndsWithTwo(String line) {
        CliRun run = CliRun.run(new FakeStore(), line.split(" "));
        assertThat(run.code()).isEqualTo(ExitCode.WRONG_USE);
        assertThat(run.code().code()).isEqualTo(2);
        assertThat(run.err() + run.out()).contains("fuchsiadeck");
    }

    @Test
    void listsTheCommands() {
        CliRun run = CliRun.run(new FakeStore(), "--help");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("config apply", "members", "Exit codes: 0 done");
    }

    @Test
    void helpOfACommandGivesOptionsAndExamples() {
        CliRun run = CliRun.run(new FakeStore(), "config", "apply", "--help");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("--base", "Examples:", "fuchsiadeck config apply examples/howrah.toml");
    }

    @Test
    void daemonsGetTheirSettings() {
        Map<String, Command> commands = Map.of("node", new NodeCommand(p -> p.equals(Path.of("n.toml")) ? 0 : 1));
        CommandLine line = new CommandLine(commands);
        Console console = Console.system();
        assertThat(line.run(console, "node", "--settings", "n.toml")).isEqualTo(ExitCode.DONE);
        assertThat(line.run(console, "node", "--settings", "m.toml")).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void settingsThatCannotBeUsedEndWithTwo() {
        CommandLine line = new CommandLine(Map.of("node", new NodeCommand(p -> 2)));
        assertThat(line.run(Console.system(), "node", "--settings", "n.toml")).isEqualTo(ExitCode.WRONG_USE);
    }

    @Test
    void writesTheMembersOfANode(@TempDir Path dir) throws Exception {
        Path token = Files.writeString(dir.resolve("token"), "secret\n");
        String body = "{\"members\":[{\"id\":\"a\",\"zone\":\"sur\"},{\"id\":\"node-b\",\"zone\":\"norte\"}]}";
        CliRun run = CliRun.run(
                new FakeStore(),
                call -> {
                    assertThat(call.headers()).containsEntry("Authorization", "Bearer secret");
                    return Either.right(new HttpAnswer(200, body, OptionalLong.empty()));
                },
                "members",
                "--node",
                "127.0.0.1:9000",
                "--token-file",
                token.toString());
        assertThat(run.out()).isEqualTo("id      zone\na       sur\nnode-b  norte\n");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
    }

    @Test
    void refusedTokenEndsWithOne(@TempDir Path dir) throws Exception {
        Path token = Files.writeString(dir.resolve("token"), "wrong");
        CliRun run = CliRun.run(
                new FakeStore(),
                call -> Either.right(new HttpAnswer(401, "{}", OptionalLong.empty())),
                "dump",
                "--node",
                "127.0.0.1:9000",
                "--token-file",
                token.toString());
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).contains("refused the token").hasLineCount(1);
    }

    @Test
    void tellsWhyARequestWentWhereItWent(@TempDir Path dir) throws Exception {
        Path token = Files.writeString(dir.resolve("token"), "secret");
        String dump = "{\"decisions\":[{\"request\":\"r1\",\"decision\":\"DISPATCHED\",\"why\":\"RETRY a2\"},"
                + "{\"request\":\"r2\",\"decision\":\"REFUSED\",\"why\":\"queue_full\"},"
                + "{\"request\":\"r1\",\"decision\":\"DISPATCHED\",\"why\":\"FRESH a1\"}]}";
        CliRun found = operator(dump, token, "why", "--request", "r1");
        assertThat(found.out())
                .isEqualTo("request  decision    why\nr1       DISPATCHED  FRESH a1\nr1       DISPATCHED  RETRY a2\n");
        CliRun absent = operator(dump, token, "why", "--request", "r9");
        assertThat(absent.code()).isEqualTo(ExitCode.FAILED);
        assertThat(absent.err()).contains("none of the last 3 decisions is on request r9");
    }

    @Test
    void dumpsBrieflyInReadableFormUnlessTheWholeStateIsAskedFor(@TempDir Path dir) throws Exception {
        Path token = Files.writeString(dir.resolve("token"), "secret");
        assertThat(operator("{\"draining\":false}", token, "dump").out()).isEqualTo("{\n  \"draining\" : false\n}\n");
        assertThat(asked).endsWith("/dump?brief=1");
        operator("{}", token, "dump", "--raw");
        assertThat(asked).endsWith("/dump?raw=1");
    }

    private CliRun operator(String answer, Path token, String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--node", "127.0.0.1:9000", "--token-file", token.toString()));
        OperatorCalls calls = call -> {
            asked.add(call.target());
            return Either.right(new HttpAnswer(200, answer, OptionalLong.empty()));
        };
        return CliRun.run(new FakeStore(), calls, all.toArray(String[]::new));
    }
}
