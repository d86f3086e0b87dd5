package org.fuchsiadeck.cli.config;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.config.ConfigDiff;
import org.fuchsiadeck.node.config.ConfigError;
import org.fuchsiadeck.node.config.ConfigStore;

/**
 * Writes which values differ between an accepted configuration and a file or another one.
 */
@Parameters(commandDescription = "write which values differ from the configuration accepted last")
public final class DiffCommand extends StoreCommand {
    @Parameter(description = "FILE", converter = PathConverter.class)
    private Path file;

    @Parameter(names = "--from", description = "the revision before; otherwise the last")
    private Long from;

    @Parameter(names = "--to", description = "the revision after, in place of a file")
    private Long to;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public DiffCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    ExitCode run(Console console, ConfigStore store) {
        if ((file == null) == (to == null)) {
            throw new ParameterException("give either a file or --to");
        }
        Either<String, Configuration> after = file == null ? accepted(store, to) : parsed(ConfigFile.read(file));
        Either<String, Configuration> before = accepted(store, from);
        return before.flatMap(b -> after.map(a -> ConfigDiff.between(b, a)))
                .fold(e -> console.error(ExitCode.FAILED, e), changes -> {
                    output.write(console, Differences.json(changes));
                    return ExitCode.DONE;
                });
    }

    private static Either<String, Configuration> accepted(ConfigStore store, Long revision) {
        return (revision == null ? current(store) : at(store, revision)).flatMap(Differences::parse);
    }

    private static Either<String, Configuration> parsed(ConfigFile file) {
        return file.parse().mapLeft(errors -> first(file, errors));
    }

    private static String first(ConfigFile file, List<ConfigError> errors) {
        return file.path() + ":" + errors.get(0);
    }

    @Override
    public List<String> examples() {
        return List.of("config diff now.toml", "config diff --from 17 --to 21 --output json");
    }
}
