package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.VersionShares;

/**
 * Finds the server for a request among those of a fleet.
 *
 * @param fleet the fleet, with the pool of the need prepared
 * @param shares which versions may take traffic
 * @param router chooses among the servers that may take the request
 * @param max gives the greatest concurrency allowed at a server
 */
public record Placement(Fleet fleet, VersionShares shares, Router router, ToIntFunction<Backend> max) {
    /** Whether a server may take a request. */
    public enum Availability {
        /** One was found. */
        OPEN,
        /** All that are live have as many requests as they may. */
        FULL,
        /** All that are there are suspected. */
        SUSPECTED,
        /** There is none. */
        NONE
    }

    /**
     * What was found.
     *
     * @param availability whether a server may take the request
     * @param choice the server; present if the availability is {@code OPEN}
     * @param openMs when the first of the servers takes requests again, in milliseconds, where all of them asked for a
     *     pause; any time past where one did not
     */
    public record Found(Availability availability, Option<Choice> choice, long openMs) {
        Found(Availability availability, Option<Choice> choice) {
            this(availability, choice, Long.MIN_VALUE);
        }
    }

    /**
     * Finds a server.
     *
     * @param wanted the request
     * @param query what the router may know of it
     * @return the server, or why there is none
     */
    public Found find(Wanted wanted, Query query) {
        VersionRule rule = new VersionRule(shares, wanted);
        Pool pool = fleet.pools().get(wanted.need()).get();
        Predicate<Server> first = s -> live(s, query) && preferred(s, wanted, query);
        Option<Choice> choice = choose(pool, rule, first, query);
        if (choice.isDefined()) {
            return new Found(Availability.OPEN, choice);
        }
        if (any(pool, rule, first)) {
            return new Found(Availability.FULL, Option.none(), openMs(pool, rule, first));
        }
        Predicate<Server> second = s -> live(s, query);
        choice = choose(pool, rule, second, query);
        if (choice.isDefined()) {
            return new Found(Availability.OPEN, choice);
        }
        return new Found(availability(pool, rule, second), Option.none(), openMs(pool, rule, second));
    }

    private Availability availability(Pool pool, VersionRule rule, Predicate<Server> live) {
        if (any(pool, rule, live)) {
            return Availability.FULL;
        }
        return any(pool, rule, this::stays) ? Availability.SUSPECTED : Availability.NONE;
    }

    private Option<Choice> choose(Pool pool, VersionRule rule, Predicate<Server> filter, Query query) {
        List<String> order = rule.order();
        if (order.isEmpty()) {
            return router.choose(candidates(pool, pool.all(), rule, filter.and(s -> room(s, query))), query);
        }
        for (String version : order) {
            Predicate<Server> usable = filter.and(s -> room(s, query))
                    .and(s -> version.equals(s.backend().version()));
            Option<Choice> choice = router.choose(candidates(pool, pool.version(version), rule, usable), query);
            if (choice.isDefined()) {
                return choice;
            }
        }
        return Option.none();
    }

    private Candidates candidates(Pool pool, Array<BackendId> ids, VersionRule rule, Predicate<Server> filter) {
        return new Candidates(
                ids,
                id -> fleet.servers()
                        .get(id)
                        .filter(s -> filter.test(s)
                                && rule.allows(s.backend())
                                && pool.members().contains(id)));
    }

    private boolean any(Pool pool, VersionRule rule, Predicate<Server> filter) {
        Predicate<Server> allowed = allowed(rule).and(filter);
        return pool.all().exists(id -> fleet.servers().get(id).exists(allowed));
    }

    private long openMs(Pool pool, VersionRule rule, Predicate<Server> filter) {
        return pool.all()
                .flatMap(id -> fleet.servers().get(id))
                .filter(allowed(rule).and(filter))
                .map(Server::pausedUntilMs)
                .min()
                .getOrElse(Long.MIN_VALUE);
    }

    private static Predicate<Server> allowed(VersionRule rule) {
        List<String> order = rule.order();
        return s -> (order.isEmpty() || order.contains(s.backend().version())) && rule.allows(s.backend());
    }

    private boolean stays(Server server) {
        return server.listed()
                && !fleet.departures().containsKey(server.backend().id());
    }

    private boolean live(Server server, Query query) {
        return stays(server) && !server.health().suspected(query.nowMs());
    }

    private boolean room(Server server, Query query) {
        return query.nowMs() >= server.pausedUntilMs()
                && server.inFlight() < server.limit().maxInFlight(max.applyAsInt(server.backend()));
    }

    private static boolean preferred(Server server, Wanted wanted, Query query) {
        boolean trial = server.health().trialDue(query.nowMs());
        return !wanted.avoid().contains(server.backend().id()) && (wanted.repeatable() || !trial);
    }
}
