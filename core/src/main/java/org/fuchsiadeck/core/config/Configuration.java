package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.platform.Position;

import static java.util.Objects.requireNonNull;

/**
 * One revision of the fleet's configuration: policy defaults and exceptions, routes, teams, rules for callers and
 * scaling.
 *
 * @param revision the revision that the platform's key-value service assigned; 0 for {@link #NONE}
 * @param version the version that the operators' document names, which rises with each change; 0 if it names none
 * @param defaults the values for the whole fleet
 * @param exceptions rules that override the defaults for some subjects; where several match, the last one wins
 * @param routes the requests that callers may send and the services that answer them
 * @param teams the known teams; all other callers count as one team of weight 1
 * @param callers rules for all callers
 * @param scaling the services for which servers may be ordered
 */
public record Configuration(
        long revision,
        long version,
        Policy defaults,
        List<ExceptionRule> exceptions,
        List<Route> routes,
        List<Team> teams,
        CallerRules callers,
        List<ServiceScaling> scaling) {
    /** The configuration of a node that has none yet. */
    public static final Configuration NONE = new Configuration(0, Policy.DEFAULT, List.of(), List.of(), List.of());

    public Configuration {
        Checks.inRange(revision, 0, Long.MAX_VALUE, "revision");
        Checks.inRange(version, 0, Long.MAX_VALUE, "version");
        requireNonNull(defaults, "defaults");
        exceptions = List.copyOf(exceptions);
        routes = List.copyOf(routes);
        teams = List.copyOf(teams);
        requireNonNull(callers, "callers");
        scaling = List.copyOf(scaling);
    }

    /**
     * Creates a configuration without rules for callers and without scaling.
     *
     * @param revision the revision that the platform's key-value service assigned
     * @param defaults the values for the whole fleet
     * @param exceptions rules that override the defaults for some subjects
     * @param routes the requests that callers may send and the services that answer them
     * @param teams the known teams
     */
    public Configuration(
            long revision, Policy defaults, List<ExceptionRule> exceptions, List<Route> routes, List<Team> teams) {
        this(revision, 0, defaults, exceptions, routes, teams, CallerRules.NONE, List.of());
    }

    /**
     * Returns whether this configuration replaces another one. Within an era of the platform's key-value service the later
     * revision does. A service that has come back from an older copy may hold an older document for a while, with a later
     * position; where both documents name their versions, these decide then.
     *
     * @param other the other configuration
     * @return whether this one is newer
     */
    public boolean isNewerThan(Configuration other) {
        return isNewer(revision, version, other.revision, other.version);
    }

    /** Compares revisions and versions as {@link #isNewerThan} does. */
    static boolean isNewer(long revision, long version, long otherRevision, long otherVersion) {
        boolean byVersion = Position.era(revision) != Position.era(otherRevision)
                && version > 0
                && otherVersion > 0
                && version != otherVersion;
        return byVersion ? version > otherVersion : revision > otherRevision;
    }

    /**
     * Finds the route of a request that names no host.
     *
     * @param method the request's method
     * @param path the request's path, without a query
     * @return the route, see {@link #findRoute(String, String, String)}; empty if none matches
     */
    public Optional<Route> findRoute(String method, String path) {
        return findRoute("", method, path);
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host that the caller names; empty if it names none
     * @param method the request's method
     * @param path the request's path, without a query
     * @return the first matching route, or a later matching prefix route if its path is longer, of those the one with
     *     the longest path; empty if none matches
     */
    public Optional<Route> findRoute(String host, String method, String path) {
        Route best = null;
        for (Route route : routes) {
            boolean preferred = best == null
                    || route.terms().prefix()
                            && route.path().length() > best.path().length();
            if (preferred && route.matches(host, method, path)) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the effective policy of a subject: the defaults, overridden in order by every exception that matches and
     * has not expired.
     *
     * @param subject the subject
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the policy
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
     * Explains where each value of the policy that {@link #policyFor} returns comes from.
     *
     * @param subject the subject
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return one explanation for each field, in the order of {@link PolicyField}
     */
    public List<Explanation> explain(Subject subject, long wallMs) {
        return Stream.of(PolicyField.values())
                .map(field -> explain(field, subject, wallMs))
                .toList();
    }

    private Explanation explain(PolicyField field, Subject subject, long wallMs) {
        List<Integer> matching = new ArrayList<>();
        List<Integer> expired = new ArrayList<>();
        for (int i = 0; i < exceptions.size(); i++) {
            ExceptionRule rule = exceptions.get(i);
            if (rule.matches(subject) && rule.set().containsKey(field.key())) {
                (rule.isExpired(wallMs) ? expired : matching).add(i + 1);
            }
        }
        if (matching.isEmpty()) {
            return new Explanation(field, field.get(defaults), OptionalInt.empty(), "", List.of(), expired);
        }
        int last = matching.remove(matching.size() - 1);
        ExceptionRule rule = exceptions.get(last - 1);
        long effectiveValue = rule.set().get(field.key());
        return new Explanation(field, effectiveValue, OptionalInt.of(last), rule.reason(), matching, expired);
    }
}
