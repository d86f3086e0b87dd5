package org.fuchsiadeck.node.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.PolicyField;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.Team;

import static java.util.Objects.requireNonNull;

/**
 * Compares configurations by their values; comments, layout and the order of routes and teams do not count.
 */
public final class ConfigDiff {
    private ConfigDiff() {}

    /**
     * A value that differs.
     *
     * @param path names the value
     * @param before the value before; empty if there was none
     * @param after the value after; empty if there is none
     */
    public record Change(String path, Optional<String> before, Optional<String> after) {
        public Change {
            requireNonNull(path, "path");
            requireNonNull(before, "before");
            requireNonNull(after, "after");
        }
    }

    /**
     * Compares two configurations.
     *
     * @param before the one before
     * @param after the one after
     * @return the values that differ, by path
     */
    public static List<Change> between(Configuration before, Configuration after) {
        Map<String, String> a = flatten(before);
        Map<String, String> b = flatten(after);
        TreeSet<String> paths = new TreeSet<>(a.keySet());
        paths.addAll(b.keySet());
        List<Change> out = new ArrayList<>();
        for (String path : paths) {
            Optional<String> x = Optional.ofNullable(a.get(path));
            Optional<String> y = Optional.ofNullable(b.get(path));
            if (!x.equals(y)) {
                out.add(new Change(path, x, y));
            }
        }
        return out;
    }

    private static Map<String, String> flatten(Configuration c) {
        Map<String, String> out = new TreeMap<>();
        for (PolicyField value : PolicyField.values()) {
            out.put("defaults." + value.key(), String.valueOf(value.get(c.defaults())));
        }
        for (int i = 0; i < c.exceptions().size(); i++) {
            exception(out, "exception " + (i + 1), c.exceptions().get(i));
        }
        c.routes().forEach(r -> route(out, "route " + r.name(), r));
        for (Team team : c.teams()) {
            out.put("team " + team.id() + ".weight", String.valueOf(team.weight()));
        }
        return out;
    }

    private static void exception(Map<String, String> out, String path, ExceptionRule rule) {
        out.put(path + ".reason", rule.reason());
        rule.match().forEach((key, value) -> out.put(path + ".match." + key, value));
        rule.set().forEach((key, value) -> out.put(path + ".set." + key, String.valueOf(value)));
        rule.expiresWallMs()
                .ifPresent(ms ->
                        out.put(path + ".expires", Instant.ofEpochMilli(ms).toString()));
    }

    private static void route(Map<String, String> out, String path, Route r) {
        out.put(path + ".service", r.service());
        out.put(path + ".kind", r.kind().name().toLowerCase(Locale.ROOT));
        out.put(path + ".request", r.method() + " " + r.path());
        out.put(path + ".idempotent", String.valueOf(r.idempotent()));
        out.put(path + ".deadline_ms", String.valueOf(r.deadlineMs()));
        out.put(path + ".max_body_bytes", String.valueOf(r.maxBodyBytes()));
        out.put(path + ".priority", String.valueOf(r.priority()));
    }
}
