package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Reads experiments from TOML files.
 */
final class ExperimentFile {
    private static final int NODES = 8;
    private static final int WARMUP_S = 5;
    private static final int FIRST_TOKEN_MS = 1_500;
    private static final int BETWEEN_TOKENS_MS = 62;
    private static final int PLAIN_MS = 1_000;
    private static final List<String> ROUTERS = List.of("better-of-two");

    private ExperimentFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the experiment, or the first fault with its place
     */
    static Either<String, Experiment> read(Path file) {
        TomlParseResult source;
        try {
            source = Toml.parse(file);
        } catch (IOException e) {
            return Either.left(file + ": can't be read: " + e.getMessage());
        }
        if (source.hasErrors()) {
            return Either.left(file + ":" + source.errors().get(0).toString());
        }
        try {
            return Either.right(new Fields(source).whole(f -> experiment(file, f)));
        } catch (IllegalArgumentException | ArithmeticException e) {
            return Either.left(file + ":" + e.getMessage());
        }
    }

    private static Experiment experiment(Path file, Fields f) {
        return new Experiment(
                f.text("name"),
                f.parsed("preset", Experiment.Preset::parse),
                file.toAbsolutePath().resolveSibling(f.text("configuration")),
                f.number("nodes", NODES),
                f.number("duration_s"),
                f.number("warmup_s", WARMUP_S),
                f.flag("poisson", true),
                numbers(f, "rates"),
                numbers(f, "seeds"),
                f.list("routers", String.class, ROUTERS),
                goals(f),
                f.list("versions", String.class, List.of("v1")),
                f.tables("team", t -> new Experiment.TeamLoad(t.text("id"), t.number("share"))),
                f.tables("request", ExperimentFile::request),
                f.tables("action", ExperimentFile::action));
    }

    private static Experiment.Goals goals(Fields f) {
        return new Experiment.Goals(
                f.number("first_token_ms", FIRST_TOKEN_MS),
                f.number("between_tokens_ms", BETWEEN_TOKENS_MS),
                f.number("plain_ms", PLAIN_MS));
    }

    private static RequestMix request(Fields f) {
        return new RequestMix(
                f.text("name"),
                f.parsed("kind", RequestMix.Kind::parse),
                f.number("weight"),
                f.text("path"),
                f.number("groups", 1),
                f.text("model", ""),
                f.number("prefix_words", 0),
                f.number("own_words", 0),
                f.number("max_tokens", 0));
    }

    private static Experiment.TimedAction action(Fields f) {
        return new Experiment.TimedAction(
                f.number("at_s"),
                f.text("to", ""),
                f.text("post", ""),
                f.text("body", ""),
                f.text("team", ""),
                f.number("factor", 1));
    }

    private static List<Integer> numbers(Fields f, String key) {
        return f.list(key, Long.class, List.of(1L)).stream()
                .map(Math::toIntExact)
                .toList();
    }
}
