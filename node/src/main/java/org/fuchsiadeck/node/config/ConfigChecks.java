package org.fuchsiadeck.node.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Backend;

import static java.util.stream.Collectors.toSet;

/**
 * Checks that span several entries of a configuration. Each table stands for the entry at the same place.
 */
final class ConfigChecks {
    private static final Pattern METHOD = Pattern.compile("[A-Z]+");

    private ConfigChecks() {}

    static void routes(List<Route> routes, List<TomlFields> tables) {
        Set<String> names = new HashSet<>();
        Set<String> targets = new HashSet<>();
        Map<String, Backend.Kind> kinds = new HashMap<>();
        for (int i = 0; i < routes.size(); i++) {
            Route r = routes.get(i);
            TomlFields table = tables.get(i);
            if (!names.add(r.name())) {
                table.fail("name", "there are two routes named " + r.name());
            }
            if (!targets.add(r.method() + " " + r.path())) {
                table.fail("path", "there are two routes for " + r.method() + " " + r.path());
            }
            if (kinds.merge(r.service(), r.kind(), (a, b) -> a) != r.kind()) {
                table.fail("kind", "service " + r.service() + " has another kind in an earlier route");
            }
            route(r, table);
        }
    }

    private static void route(Route r, TomlFields table) {
        if (!r.path().startsWith("/") || r.path().indexOf('?') >= 0) {
            table.fail("path", "path must start with / and have no query, was " + r.path());
        }
        if (!METHOD.matcher(r.method()).matches()) {
            table.fail("method", "method must be in capital letters, was " + r.method());
        }
        if (r.kind() == Backend.Kind.ENGINE && !r.method().equals("POST")) {
            table.fail("method", "a route of kind engine takes POST, was " + r.method());
        }
    }

    static void teams(List<Team> teams, List<TomlFields> tables) {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < teams.size(); i++) {
            if (!ids.add(teams.get(i).id().value())) {
                tables.get(i)
                        .fail(
                                "id",
                                "there are two teams with the id "
                                        + teams.get(i).id());
            }
        }
    }

    static void exceptions(
            List<ExceptionRule> exceptions, List<Route> routes, List<Team> teams, List<TomlFields> tables) {
        Map<String, Set<String>> known = Map.of(
                "route", routes.stream().map(Route::name).collect(toSet()),
                "service", routes.stream().map(Route::service).collect(toSet()),
                "team", teams.stream().map(t -> t.id().value()).collect(toSet()));
        for (int i = 0; i < exceptions.size(); i++) {
            TomlFields table = tables.get(i);
            exceptions.get(i).match().forEach((key, value) -> {
                if (known.containsKey(key) && !known.get(key).contains(value)) {
                    table.fail("match", "match names the " + key + " " + value + ", which this configuration lacks");
                }
            });
        }
    }
}
