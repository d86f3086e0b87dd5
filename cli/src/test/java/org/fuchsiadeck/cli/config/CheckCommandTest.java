package org.fuchsiadeck.cli.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiadeck.cli.CliRun;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.FakeStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a configuration that is sent although part of it has no effect, and against a check that misses it. */
class CheckCommandTest {
    private static final String GOOD = "[defaults]\nweight = 3\n" + route("meals", "/meals", 10_000);

    @TempDir
    Path dir;

    private final FakeStore store = new FakeStore();

    private static String route(String name, String path, long deadlineMs) {
        return """
                [[route]]
                name = "%s"
                service = "registers"
                kind = "application"
                method = "GET"
                path = "%s"
                idempotent = true
                deadline_ms = %d
                max_body_bytes = 1000
                priority = 5
                """.formatted(name, path, deadlineMs);
    }

    private CliRun check(String text, String... more) throws IOException {
        Path file = Files.writeString(dir.resolve("c.toml"), text);
        String[] args = new String[more.length + 5];
        args[0] = "config";
        args[1] = "check";
        args[2] = file.toString();
        args[3] = "--patience-ms";
        args[4] = "20";
        System.arraycopy(more, 0, args, 5, more.length);
        return CliRun.run(store, args);
    }

    private void accept(String text) throws IOException {
        Path file = Files.writeString(dir.resolve("before.toml"), text);
        assertThat(CliRun.run(store, "config", "apply", file.toString(), "--reason", "why")
                        .code())
                .isEqualTo(ExitCode.DONE);
    }

    @Test
    void endsWithZeroWithoutFindingsAndNamesWhatDiffers() throws IOException {
        accept(GOOD);
        CliRun run = check(GOOD.replace("weight = 3", "weight = 4"));
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("no findings", "differs: defaults.weight: 3 -> 4");
        assertThat(check(GOOD).out()).doesNotContain("differs");
        assertThat(store.entries.get("config/current").value().get()).contains("weight = 3");
    }

    @Test
    void endsWithOneAndThePlaceOfAMistake() throws IOException {
        CliRun run = check(GOOD.replace("weight = 3", "weight = 0"), "--offline");
        assertThat(run.code().code()).isEqualTo(1);
        assertThat(run.out()).contains("c.toml:2:1: error: weight must be from 1 to 10000, was 0");
    }

    @Test
    void endsWithTwoIfTheInputCannotBeRead() throws IOException {
        CliRun missing =
                CliRun.run(store, "config", "check", dir.resolve("none.toml").toString(), "--offline");
        assertThat(missing.code().code()).isEqualTo(2);
        store.afterwards = FakeStore.Fault.NOT_SENT;
        CliRun unreachable = check(GOOD);
        assertThat(unreachable.code().code()).isEqualTo(2);
        assertThat(unreachable.out()).contains("no findings");
        assertThat(unreachable.err()).contains("not compared with the configuration in force");
    }

    @Test
    void comparesWithNothingBeforeTheFirstConfiguration() throws IOException {
        CliRun run = check(GOOD);
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("differs: route meals.request: (none) -> GET /meals");
    }

    @Test
    void namesRoutesThatAnEarlierOneShadows() throws IOException {
        CliRun run = check(
                route("any", "/schools/*", 10_000)
                        + route("one", "/schools/a", 10_000)
                        + route("deeper", "/schools/a/b", 10_000),
                "--offline");
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.out()).contains("route one: no_effect: never matches").doesNotContain("route deeper");
        assertThat(check(route("one", "/schools/a", 10_000) + route("any", "/schools/*", 10_000), "--offline")
                        .code())
                .isEqualTo(ExitCode.DONE);
    }

    private static String exception(String match, String set, String more) {
        return "[[exception]]\nreason = \"r\"\nmatch = { " + match + " }\nset = { " + set + " }\n" + more;
    }

    @Test
    void namesExceptionsWithoutEffect() throws IOException {
        CliRun run = check(
                exception("route = \"meals\"", "backend_concurrency = 4", "")
                        + exception("zone = \"howrah\"", "weight = 5", "expires = 2020-01-01T00:00:00Z\n")
                        + exception("zone = \"behala\", service = \"registers\"", "weight = 5", "")
                        + exception("zone = \"behala\"", "weight = 6", "")
                        + exception("service = \"other\", route = \"meals\"", "max_attempts = 2", "")
                        + GOOD
                        + route("others", "/others", 10_000).replace("registers", "other"),
                "--offline");
        assertThat(run.out())
                .contains(
                        "exception 1.set.backend_concurrency: no_effect: has no effect, as backend_concurrency does not"
                                + " depend on the route",
                        "exception 2: no_effect: has expired",
                        "exception 3.set.weight: no_effect: has no effect, as exception 4",
                        "exception 5.match: no_effect: never matches")
                .doesNotContain(":exception 4");
    }

    @Test
    void namesLimitsThatContradictEachOther() throws IOException {
        CliRun run = check(
                "[defaults]\nconnect_timeout_ms = 400\nfirst_byte_timeout_ms = 20000\nfresh_connection_ms = 90000\n"
                        + "claim_lifetime_ms = 8000\n"
                        + route("short", "/short", 400)
                        + route("entry", "/entry", 30_000).replace("idempotent = true", "idempotent = false"),
                "--offline");
        assertThat(run.out())
                .contains(
                        "defaults.fresh_connection_ms: contradiction",
                        "route short.deadline_ms: contradiction: is 400, not longer than connect_timeout_ms",
                        "shorter than first_byte_timeout_ms, 20000",
                        "route entry.deadline_ms: contradiction: is 30000, longer than claim_lifetime_ms, 8000");
    }

    @Test
    void writesJson() throws IOException {
        accept(GOOD);
        CliRun run = check(GOOD + route("twin", "/meals/*", 100), "--json");
        JsonNode out = new ObjectMapper().readTree(run.out());
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(out.get("findings").get(0).get("kind").asText()).isEqualTo("contradiction");
        assertThat(out.get("differences").get(0).get("value").asText()).startsWith("route twin");
    }

    /** A check that finds fault with what is in order would not be run. */
    @ParameterizedTest
    @ValueSource(strings = {"howrah.toml", "bucaramanga.toml"})
    void findsNothingInTheExamples(String example) {
        CliRun run = CliRun.run(store, "config", "check", "../examples/" + example, "--offline");
        assertThat(run.out()).contains("no findings");
    }
}
