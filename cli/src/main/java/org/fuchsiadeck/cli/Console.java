package org.fuchsiadeck.cli;

import java.io.PrintStream;
import java.util.Optional;
import java.util.function.Function;

import static java.util.Objects.requireNonNull;

/**
 * The streams and the environment of a command.
 *
 * @param out takes the results
 * @param err takes the errors
 * @param env gives an environment variable, or null
 */
public record Console(PrintStream out, PrintStream err, Function<String, String> env) {
    public Console {
        requireNonNull(out, "out");
        requireNonNull(err, "err");
        requireNonNull(env, "env");
    }

    /**
     * Returns the console of this process.
     *
     * @return the console
     */
    public static Console system() {
        return new Console(System.out, System.err, System::getenv);
    }

    /**
     * Writes an error of one line.
     *
     * @param code how the command ends
     * @param message what went wrong
     * @return the code
     */
    public ExitCode error(ExitCode code, String message) {
        err.println(CommandLine.PROGRAM + ": " + message.replace('\n', ' '));
        return code;
    }

    /**
     * Reads an environment variable.
     *
     * @param name the variable's name
     * @return its value; empty if it is not set or blank
     */
    public Optional<String> variable(String name) {
        return Optional.ofNullable(env.apply(name)).filter(v -> !v.isBlank());
    }
}
