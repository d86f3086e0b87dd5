package org.fuchsiadeck.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Map;

import org.fuchsiadeck.cli.state.OperatorCalls;

import static java.nio.charset.StandardCharsets.UTF_8;

/** What a command line wrote, and how it ended. */
public record CliRun(ExitCode code, String out, String err) {
    public static CliRun run(FakeStore store, OperatorCalls operator, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Map<String, String> env = Map.of("FUCHSIADECK_PLATFORM", "127.0.0.1:7000", "FUCHSIADECK_OPERATOR", "asha");
        Console console = new Console(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8), env::get);
        ExitCode code = new CommandLine(Main.commands((address, timeout) -> store, operator)).run(console, args);
        return new CliRun(code, out.toString(UTF_8), err.toString(UTF_8));
    }

    public static CliRun run(FakeStore store, String... args) {
        return run(store, call -> null, args);
    }
}
