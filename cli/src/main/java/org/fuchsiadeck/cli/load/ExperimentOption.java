package org.fuchsiadeck.cli.load;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;

/**
 * Which experiment.
 */
final class ExperimentOption {
    @Parameter(names = "--experiment", required = true, description = "experiment file, in TOML")
    private Path file;

    Either<String, Experiment> read() {
        return ExperimentFile.read(file);
    }
}
