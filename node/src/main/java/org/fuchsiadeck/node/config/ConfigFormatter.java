package org.fuchsiadeck.node.config;

import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.PolicyField;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.Team;
import org.tomlj.Toml;

import static java.util.Locale.ROOT;
import static java.util.stream.Collectors.joining;

/**
 * Writes a configuration as TOML. Reading it back gives an equal configuration.
 */
public final class ConfigFormatter {
    private ConfigFormatter() {}

    /**
     * Writes a configuration.
     *
     * @param c the configuration
     * @return the text, without the revision
     */
    public static String toToml(Configuration c) {
        StringBuilder out = new StringBuilder("[defaults]\n");
        for (PolicyField value : PolicyField.values()) {
            line(out, value.key(), String.valueOf(value.get(c.defaults())));
        }
        c.exceptions().forEach(e -> exception(out, e));
        c.routes().forEach(r -> route(out, r));
        c.teams().forEach(t -> team(out, t));
        return out.toString();
    }

    private static void exception(StringBuilder out, ExceptionRule rule) {
        out.append("\n[[exception]]\n");
        line(out, "reason", quote(rule.reason()));
        line(out, "match", inline(rule.match(), ConfigFormatter::quote));
        line(out, "set", inline(rule.set(), String::valueOf));
        rule.expiresWallMs()
                .ifPresent(ms -> line(out, "expires", Instant.ofEpochMilli(ms).toString()));
    }

    private static void route(StringBuilder out, Route r) {
        out.append("\n[[route]]\n");
        line(out, "name", quote(r.name()));
        line(out, "service", quote(r.service()));
        line(out, "kind", quote(r.kind().name().toLowerCase(ROOT)));
        line(out, "method", quote(r.method()));
        line(out, "path", quote(r.path()));
        line(out, "idempotent", String.valueOf(r.idempotent()));
        line(out, "deadline_ms", String.valueOf(r.deadlineMs()));
        line(out, "max_body_bytes", String.valueOf(r.maxBodyBytes()));
        line(out, "priority", String.valueOf(r.priority()));
    }

    private static void team(StringBuilder out, Team t) {
        out.append("\n[[team]]\n");
        line(out, "id", quote(t.id().value()));
        line(out, "weight", String.valueOf(t.weight()));
    }

    private static void line(StringBuilder out, String key, String value) {
        out.append(key).append(" = ").append(value).append('\n');
    }

    private static <T> String inline(Map<String, T> map, Function<T, String> format) {
        return new TreeMap<>(map)
                .entrySet().stream()
                        .map(e -> e.getKey() + " = " + format.apply(e.getValue()))
                        .collect(joining(", ", "{ ", " }"));
    }

    private static String quote(String text) {
        return '"' + Toml.tomlEscape(text).toString() + '"';
    }
}
