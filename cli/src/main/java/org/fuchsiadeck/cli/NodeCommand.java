package org.fuchsiadeck.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.function.ToIntFunction;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;

import static java.util.Objects.requireNonNull;

/**
 * Runs an entry node until it stops.
 */
@Parameters(commandDescription = "run an entry node")
final class NodeCommand implements Command {
    @Parameter(
            names = "--settings",
            required = true,
            description = "settings file, in TOML",
            converter = PathConverter.class)
    private Path settings;

    private final ToIntFunction<Path> daemon;

    NodeCommand(ToIntFunction<Path> daemon) {
        this.daemon = requireNonNull(daemon, "daemon");
    }

    @Override
    public ExitCode run(Console console) {
        return ExitCode.ofDaemon(daemon.applyAsInt(settings));
    }

    @Override
    public List<String> examples() {
        return List.of("node --settings node.toml");
    }
}
