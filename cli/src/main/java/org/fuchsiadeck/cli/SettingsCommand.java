package org.fuchsiadeck.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.function.ToIntFunction;

import com.beust.jcommander.Parameter;

import static java.util.Objects.requireNonNull;

/**
 * A command that runs a daemon with a settings file until it stops.
 */
class SettingsCommand implements Command {
    private final String name;
    private final ToIntFunction<Path> daemon;

    @Parameter(names = "--settings", required = true, description = "settings file, in TOML")
    private Path settings;

    SettingsCommand(String name, ToIntFunction<Path> daemon) {
        this.name = name;
        this.daemon = requireNonNull(daemon, "daemon");
    }

    @Override
    public ExitCode run(Console console) {
        int code = daemon.applyAsInt(settings);
        return code == 0 ? ExitCode.DONE : console.error(ExitCode.FAILED, name + " stopped with code " + code);
    }

    @Override
    public List<String> examples() {
        return List.of(name + " --settings " + name + ".toml");
    }
}
