package org.fuchsiadeck.cli;

import java.nio.file.Path;
import java.util.function.ToIntFunction;

import com.beust.jcommander.Parameters;

/**
 * Runs an entry node.
 */
@Parameters(commandDescription = "run an entry node")
final class NodeCommand extends SettingsCommand {
    NodeCommand(ToIntFunction<Path> daemon) {
        super("node", daemon);
    }
}
