package org.fuchsiadeck.node.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.PolicyField;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * Finds what is valid in a configuration but has no effect: entries that can never match, and limits of which one makes
 * another meaningless.
 */
public final class ConfigReview {
    /**
     * The components of a subject with which each value is looked up; an exception that names another one never
     * applies. Values that are not listed are looked up with all components.
     */
    private static final Map<String, Set<String>> LOOKED_UP_WITH = Map.of(
            PolicyField.BACKEND_CONCURRENCY.key(), Set.of("zone", "service", "version", "backend"),
            PolicyField.WEIGHT.key(), Set.of("zone", "service", "version", "backend", "route"),
            PolicyField.MAX_ATTEMPTS.key(), Set.of("service", "version", "route", "team"),
            PolicyField.RETRY_BUDGET_PERCENT.key(), Set.of("service", "version", "route", "team"),
            PolicyField.QUEUE_LIMIT.key(), Set.of("service", "version", "route", "team"),
            PolicyField.SHARED_SCHEDULING.key(), Set.of("service", "route"),
            PolicyField.CLAIM_LIFETIME_MS.key(), Set.of());

    private static final String WILDCARD = "*";

    private final Configuration config;
    private final long wallMs;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigReview(Configuration config, long wallMs) {
        this.config = requireNonNull(config, "config");
        this.wallMs = wallMs;
    }

    /** What a finding is about. */
    public enum Kind {
        /** An entry never matches, or a later one always replaces it. */
        NO_EFFECT,
        /** Two limits contradict each other. */
        CONTRADICTION
    }

    /**
     * Something that probably is not what the operator means.
     *
     * @param kind what it is about
     * @param path names the entry, as {@link ConfigDiff.Change#path()} does
     * @param message what is wrong
     */
    public record Finding(Kind kind, String path, String message) {
        public Finding {
            requireNonNull(kind, "kind");
            requireNonNull(path, "path");
            requireNonNull(message, "message");
        }
    }

    /**
     * Reviews a configuration.
     *
     * @param config the configuration
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the findings: routes in their order, then exceptions, then limits
     */
    public static List<Finding> of(Configuration config, long wallMs) {
        ConfigReview review = new ConfigReview(config, wallMs);
        review.routes();
        review.exceptions();
        review.limits();
        return List.copyOf(review.findings);
    }

    private void add(Kind kind, String path, String message) {
        findings.add(new Finding(kind, path, message));
    }

    private void routes() {
        List<Route> routes = config.routes();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            routes.subList(0, i).stream()
                    .filter(r -> covers(r, route))
                    .findFirst()
                    .ifPresent(r -> add(
                            Kind.NO_EFFECT,
                            "route " + route.name(),
                            "never matches, as route " + r.name() + " (" + r.method() + " " + r.path()
                                    + ") precedes it and matches all of its requests"));
        }
    }

    /** Returns whether an earlier route takes all requests of a later one, see {@link Configuration#findRoute}. */
    private static boolean covers(Route earlier, Route later) {
        RouteOptions terms = earlier.terms();
        if (!terms.host().isEmpty() && !terms.host().equals(later.terms().host())) {
            return false;
        }
        if (later.terms().prefix()) {
            return terms.prefix() && earlier.path().equals(later.path());
        }
        if (terms.prefix()) {
            return !earlier.path().contains(WILDCARD) && later.path().startsWith(earlier.path());
        }
        return earlier.method().equals(later.method()) && covers(earlier.path(), later.path());
    }

    private static boolean covers(String earlier, String later) {
        String[] general = earlier.split("/", -1);
        String[] specific = later.split("/", -1);
        if (general.length != specific.length) {
            return false;
        }
        for (int i = 0; i < general.length; i++) {
            boolean any = general[i].equals(WILDCARD) && !specific[i].isEmpty();
            if (!any && !general[i].equals(specific[i])) {
                return false;
            }
        }
        return true;
    }

    private void exceptions() {
        List<ExceptionRule> rules = config.exceptions();
        for (int i = 0; i < rules.size(); i++) {
            ExceptionRule rule = rules.get(i);
            String path = "exception " + (i + 1);
            if (rule.isExpired(wallMs)) {
                add(Kind.NO_EFFECT, path, "has expired");
            }
            contradictoryMatch(rule).ifPresent(m -> add(Kind.NO_EFFECT, path + ".match", m));
            for (String value : rule.set().keySet().stream().sorted().toList()) {
                uselessValue(rule, i, value).ifPresent(m -> add(Kind.NO_EFFECT, path + ".set." + value, m));
            }
        }
    }

    private Optional<String> contradictoryMatch(ExceptionRule rule) {
        String name = rule.match().get("route");
        String service = rule.match().get("service");
        if (name == null || service == null) {
            return Optional.empty();
        }
        return config.routes().stream()
                .filter(r -> r.name().equals(name) && !serves(r, service))
                .findFirst()
                .map(r -> "never matches, as route " + name + " belongs to service " + r.service() + ", not to "
                        + service);
    }

    private static boolean serves(Route route, String service) {
        return route.service().equals(service)
                || route.terms().shares().stream().anyMatch(s -> s.service().equals(service));
    }

    private Optional<String> uselessValue(ExceptionRule rule, int index, String value) {
        Set<String> known = LOOKED_UP_WITH.getOrDefault(value, Set.copyOf(Subject.KEYS));
        if (!known.containsAll(rule.match().keySet())) {
            String unknown = rule.match().keySet().stream()
                    .filter(k -> !known.contains(k))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            return Optional.of("has no effect, as " + value + " does not depend on the " + unknown);
        }
        for (int later = index + 1; later < config.exceptions().size(); later++) {
            ExceptionRule other = config.exceptions().get(later);
            if (other.set().containsKey(value) && replaces(other, rule)) {
                return Optional.of(
                        "has no effect, as exception " + (later + 1) + " matches at least the same and sets it too");
            }
        }
        return Optional.empty();
    }

    private boolean replaces(ExceptionRule later, ExceptionRule earlier) {
        boolean asGeneral = earlier.match().entrySet().containsAll(later.match().entrySet());
        boolean asLong = later.expiresWallMs().isEmpty()
                || earlier.expiresWallMs().isPresent()
                        && earlier.expiresWallMs().getAsLong()
                                <= later.expiresWallMs().getAsLong();
        return asGeneral && asLong && !later.isExpired(wallMs);
    }

    private void limits() {
        Policy defaults = config.defaults();
        if (defaults.freshConnectionMs() > defaults.connectionMaxAgeMs()) {
            contradiction(
                    "defaults.fresh_connection_ms",
                    "is " + defaults.freshConnectionMs() + ", longer than connection_max_age_ms, "
                            + defaults.connectionMaxAgeMs());
        }
        config.routes().forEach(this::limits);
    }

    private void limits(Route route) {
        Policy policy = config.policyFor(Subject.of(route), wallMs);
        String path = "route " + route.name();
        long deadline = route.deadlineMs();
        if (policy.connectTimeoutMs() >= deadline) {
            contradiction(
                    path + ".deadline_ms",
                    "is " + deadline + ", not longer than connect_timeout_ms, " + policy.connectTimeoutMs()
                            + ": no second server can be tried");
        }
        if (policy.firstByteTimeoutMs() > deadline
                && policy.firstByteTimeoutMs() != Policy.DEFAULT.firstByteTimeoutMs()) {
            contradiction(
                    path + ".deadline_ms",
                    "is " + deadline + ", shorter than first_byte_timeout_ms, " + policy.firstByteTimeoutMs()
                            + ", which never applies");
        }
        if (!route.idempotent() && defaultsLifetimeMs() < deadline) {
            contradiction(
                    path + ".deadline_ms",
                    "is " + deadline + ", longer than claim_lifetime_ms, " + defaultsLifetimeMs()
                            + ": a key may be free again while its request still runs");
        }
        if (route.terms().targetMs() > deadline) {
            contradiction(
                    path + ".target_ms", "is " + route.terms().targetMs() + ", longer than deadline_ms, " + deadline);
        }
        if (route.kind() == Backend.Kind.ENGINE && route.maxBodyBytes() == 0) {
            contradiction(path + ".max_body_bytes", "is 0, but requests of kind engine have a body");
        }
    }

    private long defaultsLifetimeMs() {
        return config.defaults().claimLifetimeMs();
    }

    private void contradiction(String path, String message) {
        add(Kind.CONTRADICTION, path, message);
    }
}
