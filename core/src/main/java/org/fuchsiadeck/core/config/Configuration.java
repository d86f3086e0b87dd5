package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * One revision of the configuration, checked whole.
 *
 * @param revision the revision the platform's service gave it; 0 for none yet
 * @param defaults the values for the whole fleet
 * @param exceptions departures from the defaults; where several match, the last one wins
 * @param routes what callers may ask for
 * @param teams the teams that are known; other callers count as one team of weight 1
 */
public record Configuration(
        long revision, Policy defaults, List<ExceptionRule> exceptions, List<Route> routes, List<Team> teams) {
    /** Before any configuration is known. */
    public static final Configuration NONE = new Configuration(0, Policy.DEFAULT, List.of(), List.of(), List.of());

    public Configuration {
        Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
        requireNonNull(defaults, "defaults");
        exceptions = List.copyOf(exceptions);
        routes = List.copyOf(routes);
        teams = List.copyOf(teams);
    }

    /**
     * Finds the route of a request.
     *
     * @param method the request's method
     * @param path the request's path, without a query
     * @return the first route that matches
     */
    public Optional<Route> route(String method, String path) {
        return routes.stream().filter(r -> r.matches(method, path)).findFirst();
    }
}
