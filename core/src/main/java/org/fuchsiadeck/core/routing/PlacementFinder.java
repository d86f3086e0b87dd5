package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntBiFunction;
import java.util.function.ToIntFunction;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.VersionShares;

/**
 * Finds a backend server for a request: determines the servers that may take it and lets a router choose one of them.
 *
 * @param fleet the fleet, which must contain the pool of the request's need
 * @param shares the current traffic shares of the versions
 * @param router the router that chooses among the servers that may take the request
 * @param maxConcurrency returns the maximum concurrency allowed at a server
 * @param limit returns the number of attempts that this node may have at a server, given the maximum concurrency
 */
public record PlacementFinder(
        Fleet fleet,
        VersionShares shares,
        Router router,
        ToIntFunction<Backend> maxConcurrency,
        ToIntBiFunction<BackendStatus, Integer> limit) {
    /**
     * Creates a finder that uses this node's own counts.
     *
     * @param fleet the fleet, which must contain the pool of the request's need
     * @param shares the current traffic shares of the versions
     * @param router the router that chooses among the servers that may take the request
     * @param maxConcurrency returns the maximum concurrency allowed at a server
     */
    public PlacementFinder(Fleet fleet, VersionShares shares, Router router, ToIntFunction<Backend> maxConcurrency) {
        this(fleet, shares, router, maxConcurrency, (s, max) -> s.limit().maxInFlight(max));
    }

    /**
     * Returns a finder with other limits.
     *
     * @param next returns the number of attempts that this node may have at a server, given the maximum concurrency
     * @return the finder
     */
    public PlacementFinder withLimit(ToIntBiFunction<BackendStatus, Integer> next) {
        return new PlacementFinder(fleet, shares, router, maxConcurrency, next);
    }

    /** Whether any server may take a request now. */
    public enum Availability {
        /** A server was found. */
        OPEN,
        /** All live servers are at their concurrency limit or their rate limit, or paused. */
        FULL,
        /** All listed servers that are not leaving are suspected. */
        SUSPECTED,
        /** No server that meets the requirements is listed and not leaving. */
        NONE
    }

    /**
     * The outcome of the search for a server.
     *
     * @param availability whether any server may take the request
     * @param choice the chosen server; present only if the availability is {@code OPEN}
     * @param pausedUntilMs the earliest end of a pause, in milliseconds, if all servers asked for one; otherwise a past
     *     time
     */
    public record PlacementResult(Availability availability, Option<Choice> choice, long pausedUntilMs) {
        PlacementResult(Availability availability, Option<Choice> choice) {
            this(availability, choice, Long.MIN_VALUE);
        }
    }

    /**
     * Finds a server for a request. Servers that the request avoids are used only if no other server is live, and so
     * are suspected servers whose trial is due if the request may not run twice.
     *
     * @param request the request to be placed
     * @param context the input of the router
     * @return the chosen server, or why there is none
     */
    public PlacementResult find(PlacementRequest request, RoutingContext context) {
        VersionRule rule = new VersionRule(shares, request);
        Pool pool = fleet.pools().get(request.need()).get();
        Predicate<BackendStatus> preferred = s -> isLive(s, context) && isPreferred(s, request, context);
        Option<Choice> choice = choose(pool, rule, preferred, context);
        if (choice.isDefined()) {
            return new PlacementResult(Availability.OPEN, choice);
        }
        if (anyMatches(pool, rule, preferred)) {
            return new PlacementResult(Availability.FULL, Option.none(), pausedUntilMs(pool, rule, preferred));
        }
        Predicate<BackendStatus> live = s -> isLive(s, context);
        choice = choose(pool, rule, live, context);
        if (choice.isDefined()) {
            return new PlacementResult(Availability.OPEN, choice);
        }
        return new PlacementResult(availability(pool, rule, live), Option.none(), pausedUntilMs(pool, rule, live));
    }

    private Availability availability(Pool pool, VersionRule rule, Predicate<BackendStatus> live) {
        if (anyMatches(pool, rule, live)) {
            return Availability.FULL;
        }
        return anyMatches(pool, rule, this::isRemaining) ? Availability.SUSPECTED : Availability.NONE;
    }

    private Option<Choice> choose(
            Pool pool, VersionRule rule, Predicate<BackendStatus> filter, RoutingContext context) {
        List<String> versions = rule.preferredVersions();
        if (versions.isEmpty()) {
            return router.choose(candidates(pool, pool.all(), rule, filter.and(s -> hasCapacity(s, context))), context);
        }
        for (String version : versions) {
            Predicate<BackendStatus> usable = filter.and(s -> hasCapacity(s, context))
                    .and(s -> version.equals(s.backend().version()));
            Option<Choice> choice = router.choose(candidates(pool, pool.ofVersion(version), rule, usable), context);
            if (choice.isDefined()) {
                return choice;
            }
        }
        return Option.none();
    }

    private Candidates candidates(Pool pool, Array<BackendId> ids, VersionRule rule, Predicate<BackendStatus> filter) {
        return new Candidates(
                ids,
                id -> fleet.servers()
                        .get(id)
                        .filter(s -> filter.test(s)
                                && rule.allows(s.backend())
                                && pool.members().contains(id)));
    }

    private boolean anyMatches(Pool pool, VersionRule rule, Predicate<BackendStatus> filter) {
        Predicate<BackendStatus> allowed = allowed(rule).and(filter);
        return pool.all().exists(id -> fleet.servers().get(id).exists(allowed));
    }

    private long pausedUntilMs(Pool pool, VersionRule rule, Predicate<BackendStatus> filter) {
        return pool.all()
                .flatMap(id -> fleet.servers().get(id))
                .filter(allowed(rule).and(filter))
                .map(BackendStatus::pausedUntilMs)
                .min()
                .getOrElse(Long.MIN_VALUE);
    }

    private static Predicate<BackendStatus> allowed(VersionRule rule) {
        List<String> versions = rule.preferredVersions();
        return s -> (versions.isEmpty() || versions.contains(s.backend().version())) && rule.allows(s.backend());
    }

    private boolean isRemaining(BackendStatus server) {
        return server.listed()
                && !fleet.departures().containsKey(server.backend().id());
    }

    private boolean isLive(BackendStatus server, RoutingContext context) {
        return isRemaining(server) && !server.health().isSuspected(context.nowMs());
    }

    private boolean hasCapacity(BackendStatus server, RoutingContext context) {
        boolean limitAllows = fleet.limits().get(server.backend().id()).forAll(l -> l.allowsSend(context.nowMs()));
        return limitAllows
                && context.nowMs() >= server.pausedUntilMs()
                && server.inFlight() < limit.applyAsInt(server, maxConcurrency.applyAsInt(server.backend()));
    }

    private static boolean isPreferred(BackendStatus server, PlacementRequest request, RoutingContext context) {
        boolean trialDue = server.health().isTrialDue(context.nowMs());
        return !request.avoided().contains(server.backend().id()) && (request.repeatable() || !trialDue);
    }
}
