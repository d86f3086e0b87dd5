package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

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
 * @param callers what the operators ask of all callers
 * @param scaling the services whose servers may be ordered
 */
public record Configuration(
        long revision,
        Policy defaults,
        List<ExceptionRule> exceptions,
        List<Route> routes,
        List<Team> teams,
        CallerRules callers,
        List<ServiceScaling> scaling) {
    /** Before any configuration is known. */
    public static final Configuration NONE = new Configuration(0, Policy.DEFAULT, List.of(), List.of(), List.of());

    public Configuration {
        Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
        requireNonNull(defaults, "defaults");
        exceptions = List.copyOf(exceptions);
        routes = List.copyOf(routes);
        teams = List.copyOf(teams);
        requireNonNull(callers, "callers");
        scaling = List.copyOf(scaling);
    }

    /**
     * Makes a configuration that asks nothing of callers.
     *
     * @param revision the revision the platform's service gave it
     * @param defaults the values for the whole fleet
     * @param exceptions departures from the defaults
     * @param routes what callers may ask for
     * @param teams the teams that are known
     */
    public Configuration(
            long revision, Policy defaults, List<ExceptionRule> exceptions, List<Route> routes, List<Team> teams) {
        this(revision, defaults, exceptions, routes, teams, CallerRules.NONE, List.of());
    }

    /**
     * Finds the route of a request.
     *
     * @param method the request's method
     * @param path the request's path, without a query
     * @return the first route that matches
     */
    public Optional<Route> findRoute(String method, String path) {
        return findRoute("", method, path);
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host the caller names; empty if it names none
     * @param method the request's method
     * @param path the request's path, without a query
     * @return of the routes that match, the one with the longest path; the first of those that are equally long
     */
    public Optional<Route> findRoute(String host, String method, String path) {
        Route best = null;
        for (Route route : routes) {
            boolean longer = best == null
                    || route.terms().prefix()
                            && route.path().length() > best.path().length();
            if (longer && route.matches(host, method, path)) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the values in force for a subject: the defaults, then every exception that matches and has not expired,
     * in order.
     *
     * @param subject what the values are for
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the values
     */
    public Policy policyFor(Subject subject, long wallMs) {
        Policy policy = defaults;
        for (ExceptionRule rule : exceptions) {
            if (rule.matches(subject) && !rule.isExpired(wallMs)) {
                policy = policy.withValues(rule.set());
            }
        }
        return policy;
    }

    /**
     * Explains the values that {@link #policyFor} gives.
     *
     * @param subject what the values are for
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return one explanation for each value, in the order of {@link PolicyField}
     */
    public List<Explanation> explain(Subject subject, long wallMs) {
        return Stream.of(PolicyField.values())
                .map(v -> explain(v, subject, wallMs))
                .toList();
    }

    private Explanation explain(PolicyField value, Subject subject, long wallMs) {
        List<Integer> matching = new ArrayList<>();
        List<Integer> expired = new ArrayList<>();
        for (int i = 0; i < exceptions.size(); i++) {
            ExceptionRule rule = exceptions.get(i);
            if (rule.matches(subject) && rule.set().containsKey(value.key())) {
                (rule.isExpired(wallMs) ? expired : matching).add(i + 1);
            }
        }
        if (matching.isEmpty()) {
            return new Explanation(value, value.get(defaults), OptionalInt.empty(), "", List.of(), expired);
        }
        int last = matching.remove(matching.size() - 1);
        ExceptionRule rule = exceptions.get(last - 1);
        long inForce = rule.set().get(value.key());
        return new Explanation(value, inForce, OptionalInt.of(last), rule.reason(), matching, expired);
    }
}
