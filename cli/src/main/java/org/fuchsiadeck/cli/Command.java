package org.fuchsiadeck.cli;

import java.util.List;

/**
 * A command with its options, as JCommander fills them in.
 */
public interface Command {
    /**
     * Runs the command.
     *
     * @param console where it writes to
     * @return how it ended
     * @throws com.beust.jcommander.ParameterException if the options do not fit together
     */
    ExitCode run(Console console);

    /**
     * Returns examples for the help text.
     *
     * @return command lines without the program's name
     */
    List<String> examples();
}
