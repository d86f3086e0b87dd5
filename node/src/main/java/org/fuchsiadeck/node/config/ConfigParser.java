package org.fuchsiadeck.node.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import io.vavr.control.Either;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.PolicyField;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.TeamId;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Reads a configuration from TOML. A text is taken whole or not at all.
 */
public final class ConfigParser {
    private static final TomlPosition START = TomlPosition.positionAt(1, 1);

    private final List<ConfigError> errors = new ArrayList<>();

    private ConfigParser() {}

    /**
     * Reads and checks a configuration.
     *
     * @param text the text, in TOML
     * @param revision the revision to give the configuration
     * @return the configuration, or all that is wrong in the text, in the order of the lines
     */
    public static Either<List<ConfigError>, Configuration> parse(String text, long revision) {
        try {
            return new ConfigParser().read(text, revision);
        } catch (StackOverflowError e) {
            return Either.left(List.of(new ConfigError(START.line(), START.column(), "the text is nested too deeply")));
        }
    }

    private Either<List<ConfigError>, Configuration> read(String text, long revision) {
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(e -> errors.add(
                        new ConfigError(e.position().line(), e.position().column(), e.getMessage())));
        if (!errors.isEmpty()) {
            return failure();
        }
        TomlFields root = new TomlFields(toml, START, errors);
        Policy defaults = root.optionalTable("defaults").map(this::defaults).orElse(Policy.DEFAULT);
        List<TomlFields> exceptionTables = root.tables("exception");
        List<TomlFields> routeTables = root.tables("route");
        List<TomlFields> teamTables = root.tables("team");
        root.rejectOthers();
        List<ExceptionRule> exceptions = all(exceptionTables, this::exception);
        List<Route> routes = all(routeTables, this::route);
        List<Team> teams = all(teamTables, this::team);
        if (!errors.isEmpty()) {
            return failure();
        }
        ConfigChecks.routes(routes, routeTables);
        ConfigChecks.teams(teams, teamTables);
        ConfigChecks.exceptions(exceptions, routes, teams, exceptionTables);
        return errors.isEmpty()
                ? Either.right(new Configuration(revision, defaults, exceptions, routes, teams))
                : failure();
    }

    private Either<List<ConfigError>, Configuration> failure() {
        return Either.left(errors.stream()
                .sorted((a, b) -> a.line() == b.line() ? a.column() - b.column() : a.line() - b.line())
                .toList());
    }

    private static <T> List<T> all(List<TomlFields> tables, Function<TomlFields, Optional<T>> read) {
        List<T> out = new ArrayList<>();
        tables.forEach(t -> read.apply(t).ifPresent(out::add));
        return out;
    }

    private Policy defaults(TomlFields table) {
        return Policy.DEFAULT.withValues(policyValues(table));
    }

    private Map<String, Long> policyValues(TomlFields table) {
        Map<String, Long> out = new HashMap<>();
        for (PolicyField value : PolicyField.values()) {
            if (table.has(value.key())) {
                out.put(value.key(), table.number(value.key(), value.min(), value.max()));
            }
        }
        for (String key : table.keys()) {
            if (PolicyField.findByKey(key).isEmpty()) {
                table.fail(key, "there is no value named " + key);
            }
        }
        return out;
    }

    private Optional<ExceptionRule> exception(TomlFields table) {
        String reason = table.text("reason");
        Map<String, String> match = table.table("match").map(this::match).orElse(Map.of());
        Map<String, Long> set = table.table("set").map(t -> values(t)).orElse(Map.of());
        OptionalLong expires = table.time("expires");
        table.rejectOthers();
        if (reason.isBlank()) {
            return Optional.empty();
        }
        return table.build(() -> new ExceptionRule(reason, match, set, expires));
    }

    private Map<String, Long> values(TomlFields table) {
        if (table.keys().isEmpty()) {
            table.fail("", "set must name at least one value");
        }
        return policyValues(table);
    }

    private Map<String, String> match(TomlFields table) {
        Map<String, String> out = new HashMap<>();
        if (table.keys().isEmpty()) {
            table.fail("", "match must name at least one of " + Subject.KEYS);
        }
        for (String key : table.keys()) {
            if (Subject.KEYS.contains(key)) {
                out.put(key, table.text(key));
            } else {
                table.fail(key, "match can name " + Subject.KEYS + ", not " + key);
            }
        }
        out.values().removeIf(String::isBlank);
        return out;
    }

    private Optional<Route> route(TomlFields table) {
        int before = errors.size();
        String name = table.text("name");
        String service = table.text("service");
        Backend.Kind kind = kind(table);
        String method = table.text("method");
        String path = table.text("path");
        boolean idempotent = table.flag("idempotent");
        long deadline = table.number("deadline_ms", 1, Route.MAX_DEADLINE_MS);
        long body = table.number("max_body_bytes", 0, Route.MAX_BODY_BYTES);
        int priority = (int) table.number("priority", 0, Route.MAX_PRIORITY);
        table.rejectOthers();
        if (errors.size() > before) {
            return Optional.empty();
        }
        return table.build(() ->
                new Route(name, service, kind, method, path, idempotent, deadline, body, priority, RouteOptions.NONE));
    }

    private Backend.Kind kind(TomlFields table) {
        String text = table.text("kind");
        for (Backend.Kind kind : Backend.Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
                return kind;
            }
        }
        if (!text.isBlank()) {
            table.fail("kind", "kind must be engine or application, was " + text);
        }
        return Backend.Kind.APPLICATION;
    }

    private Optional<Team> team(TomlFields table) {
        int before = errors.size();
        String id = table.text("id");
        int weight = (int) table.number("weight", 1, Team.MAX_WEIGHT);
        table.rejectOthers();
        return errors.size() > before ? Optional.empty() : table.build(() -> new Team(new TeamId(id), weight));
    }
}
