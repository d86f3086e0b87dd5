package org.fuchsiadeck.cli.config;

import java.util.Optional;

import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.OutputOptions;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigStore;
import org.fuchsiadeck.node.config.Timing;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.node.platform.PlatformFailure;

import static java.util.Objects.requireNonNull;

/**
 * A command that reads or writes the accepted configurations.
 */
abstract class StoreCommand implements Command {
    static final ObjectMapper JSON = new ObjectMapper();

    @ParametersDelegate
    final OutputOptions output = new OutputOptions();

    @ParametersDelegate
    private final PlatformOptions platform = new PlatformOptions();

    private final PlatformOptions.Connector connector;

    StoreCommand(PlatformOptions.Connector connector) {
        this.connector = requireNonNull(connector, "connector");
    }

    @Override
    public ExitCode run(Console console) {
        try (KeyValueStore store = platform.open(console, connector)) {
            return run(console, new ConfigStore(store, Timing.system(), platform.patienceMs()));
        }
    }

    /** Runs the command on the store. */
    abstract ExitCode run(Console console, ConfigStore store);

    /** Returns a configuration that must exist, or one line of error. */
    static Either<String, Accepted> required(Either<PlatformFailure, Optional<Accepted>> read, String missing) {
        return read.mapLeft(PlatformFailure::toString)
                .flatMap(a -> a.<Either<String, Accepted>>map(Either::right).orElseGet(() -> Either.left(missing)));
    }

    /** Returns the configuration accepted last, or one line of error. */
    static Either<String, Accepted> current(ConfigStore store) {
        return required(store.current(), "no configuration has been accepted yet");
    }

    /** Returns an accepted configuration by its revision, or one line of error. */
    static Either<String, Accepted> at(ConfigStore store, long revision) {
        return required(store.at(revision), "revision " + revision + " is not known, or no longer kept");
    }
}
