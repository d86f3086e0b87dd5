package org.fuchsiadeck.cli.config;

import java.nio.file.Path;
import java.time.Instant;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.PlatformOptions;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Explanation;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.node.config.ConfigStore;

/**
 * Writes the values in force for a subject, and whether the defaults or an exception gives each.
 */
@Parameters(commandDescription = "write the values in force for a subject, and why")
public final class ExplainCommand extends StoreCommand {
    @Parameter(description = "[FILE, in place of the configuration accepted last]", converter = PathConverter.class)
    private Path file;

    @Parameter(names = "--zone", description = "the subject's availability zone")
    private String zone = "";

    @Parameter(names = "--service", description = "the subject's service")
    private String service = "";

    @Parameter(names = "--version", description = "the subject's version")
    private String version = "";

    @Parameter(names = "--backend", description = "the id of the backend server")
    private String backend = "";

    @Parameter(names = "--route", description = "the name of the route")
    private String route = "";

    @Parameter(names = "--team", description = "the id of the team")
    private String team = "";

    @Parameter(
            names = "--at",
            description = "the time to look at, such as 2027-01-31T00:00:00Z; otherwise now",
            converter = TimeConverter.class)
    private Instant at;

    /**
     * Makes the command.
     *
     * @param connector makes clients of the key-value service
     */
    public ExplainCommand(PlatformOptions.Connector connector) {
        super(connector);
    }

    @Override
    public ExitCode run(Console console) {
        if (file == null) {
            return super.run(console);
        }
        ConfigFile f = ConfigFile.read(file);
        return f.parse().fold(errors -> f.invalid(console, errors), c -> write(console, c));
    }

    @Override
    ExitCode run(Console console, ConfigStore store) {
        return current(store)
                .flatMap(Differences::parse)
                .fold(e -> console.error(ExitCode.FAILED, e), c -> write(console, c));
    }

    private ExitCode write(Console console, Configuration c) {
        Subject subject = new Subject(zone, service, version, backend, route, team);
        ArrayNode out = JSON.createArrayNode();
        c.explain(subject, time()).forEach(e -> row(out.addObject(), c, e));
        output.write(console, out);
        return ExitCode.DONE;
    }

    private static void row(ObjectNode row, Configuration c, Explanation e) {
        row.put("value", e.field().key()).put("in_force", e.effectiveValue());
        row.put(
                "from",
                e.exceptionNumber().isPresent()
                        ? "exception " + e.exceptionNumber().getAsInt()
                        : "defaults");
        row.put("reason", e.exceptionNumber().isPresent() ? e.reason() : null);
        row.put("overridden", e.overridden().isEmpty() ? null : "exceptions " + e.overridden());
        row.put("expired", e.expired().isEmpty() ? null : expired(c, e));
    }

    private static String expired(Configuration c, Explanation e) {
        return e.expired().stream()
                .map(n -> "exception " + n + " at "
                        + Instant.ofEpochMilli(
                                c.exceptions().get(n - 1).expiresWallMs().getAsLong()))
                .toList()
                .toString();
    }

    private long time() {
        return at == null ? System.currentTimeMillis() : at.toEpochMilli();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "config explain --zone dumdum --route meal-entry",
                "config explain examples/howrah.toml --zone dumdum --at 2027-02-01T00:00:00Z");
    }
}
