package org.fuchsiadeck.cli.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigDiff;
import org.fuchsiadeck.node.config.ConfigError;
import org.fuchsiadeck.node.config.ConfigReview;
import org.fuchsiadeck.node.config.ConfigStore;
import org.fuchsiadeck.node.platform.PlatformFailure;

/**
 * Checks a configuration before it is sent: mistakes, entries without effect, limits that contradict each other, and what
 * differs from the configuration in force. The exit code is 0 without findings, 1 with findings, and 2 if the file or the
 * configuration in force cannot be read. Differences are no findings.
 */
@Parameters(commandDescription = "check a configuration before it is sent, without changing anything")
public final class CheckCommand extends StoreCommand {
    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @Parameter(names = "--offline", description = "do not compare with the configuration accepted last")
    private boolean offline;

    @Parameter(names = "--json", description = "the same as --output json")
    private boolean json;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public CheckCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    /**
     * The outcome of a check.
     *
     * @param kind what a finding is about, such as {@code error}
     * @param place where it is: line and column, or the entry
     * @param message what is wrong
     */
    private record Line(String kind, String place, String message) {
        static Line of(ConfigError error) {
            return new Line("error", error.line() + ":" + error.column(), error.message());
        }

        static Line of(ConfigReview.Finding finding) {
            String kind = finding.kind().name().toLowerCase(Locale.ROOT);
            return new Line(kind, finding.path(), finding.message());
        }
    }

    @Override
    public ExitCode run(Console console) {
        Either<List<ConfigError>, Configuration> parsed = ConfigFile.read(file).parse();
        if (offline || parsed.isLeft()) {
            return finish(console, findings(parsed), Optional.empty());
        }
        return super.run(console);
    }

    @Override
    ExitCode run(Console console, ConfigStore store) {
        Either<List<ConfigError>, Configuration> parsed = ConfigFile.read(file).parse();
        List<Line> findings = findings(parsed);
        Either<String, List<ConfigDiff.Change>> changes = store.current()
                .mapLeft(PlatformFailure::toString)
                .flatMap(CheckCommand::inForce)
                .flatMap(before -> parsed.mapLeft(errors -> file + ":" + errors.get(0))
                        .map(after -> ConfigDiff.between(before, after)));
        ExitCode code = finish(console, findings, changes.toJavaOptional());
        return changes.fold(
                e -> console.error(ExitCode.WRONG_USE, "not compared with the configuration in force: " + e),
                c -> code);
    }

    /** Returns the configuration accepted last, or the empty one before the first. */
    private static Either<String, Configuration> inForce(Optional<Accepted> accepted) {
        return accepted.map(Differences::parse).orElse(Either.right(Configuration.NONE));
    }

    private static List<Line> findings(Either<List<ConfigError>, Configuration> parsed) {
        List<Line> lines = new ArrayList<>();
        parsed.peekLeft(errors -> errors.forEach(e -> lines.add(Line.of(e))));
        parsed.peek(c -> ConfigReview.of(c, System.currentTimeMillis()).forEach(f -> lines.add(Line.of(f))));
        return lines;
    }

    private ExitCode finish(Console console, List<Line> findings, Optional<List<ConfigDiff.Change>> changes) {
        if (json || output.json()) {
            ObjectNode out = JSON.createObjectNode().put("file", file.toString());
            ArrayNode rows = out.putArray("findings");
            findings.forEach(f -> rows.addObject()
                    .put("kind", f.kind())
                    .put("place", f.place())
                    .put("message", f.message()));
            out.set("differences", changes.map(Differences::json).orElse(null));
            console.out().println(out.toPrettyString());
        } else {
            findings.forEach(f -> console.out().println(file + ":" + f.place() + ": " + f.kind() + ": " + f.message()));
            changes.ifPresent(all -> all.forEach(c -> console.out().println(text(c))));
            if (findings.isEmpty()) {
                console.out().println(file + ": no findings");
            }
        }
        return findings.isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static String text(ConfigDiff.Change change) {
        return "differs: " + change.path() + ": " + change.before().orElse("(none)") + " -> "
                + change.after().orElse("(none)");
    }

    @Override
    public List<String> examples() {
        return List.of("config check next.toml --platform 127.0.0.1:7000", "config check next.toml --offline --json");
    }
}
