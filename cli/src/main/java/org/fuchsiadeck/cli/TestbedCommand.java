package org.fuchsiadeck.cli;

import java.nio.file.Path;
import java.util.function.ToIntFunction;

import com.beust.jcommander.Parameters;

/**
 * Runs the stand-ins of the outside systems.
 */
@Parameters(commandDescription = "run stand-ins of the outside systems")
final class TestbedCommand extends SettingsCommand {
    TestbedCommand(ToIntFunction<Path> daemon) {
        super("testbed", daemon);
    }
}
