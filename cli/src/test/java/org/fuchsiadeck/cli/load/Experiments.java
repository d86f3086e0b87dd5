package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vavr.control.Either;

/** Experiments for tests. */
final class Experiments {
    private static final String HEAD = """
            name = "test"
            preset = "howrah"
            configuration = "c.toml"
            duration_s = 10
            warmup_s = 0
            """;
    private static final String PARTS = """
            [[team]]
            id = "large"
            share = 4
            [[team]]
            id = "small"
            share = 1
            [[request]]
            name = "entry"
            kind = "entry"
            weight = 2
            path = "/registers/*/entries"
            groups = 3
            [[request]]
            name = "notice"
            kind = "stream"
            weight = 1
            path = "/v1/completions"
            groups = 2
            model = "m"
            prefix_words = 32
            own_words = 4
            max_tokens = 12
            """;

    private Experiments() {}

    static Experiment of(String head) {
        return of(head, "");
    }

    static Experiment of(String head, String more) {
        return read(HEAD + head + PARTS + more).getOrElseThrow(e -> new IllegalArgumentException(e));
    }

    static String text() {
        return HEAD + PARTS;
    }

    static Either<String, Experiment> read(String text) {
        try {
            Path file = Files.createTempFile("experiment", ".toml");
            Files.writeString(file, text);
            Either<String, Experiment> read = ExperimentFile.read(file);
            Files.delete(file);
            return read;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
