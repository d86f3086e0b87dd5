package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

/**
 * What a node needs to keep the rosters in the platform's service up to date.
 *
 * @param round the number of the current round
 * @param newestSinceMs when the newest roster was learnt, in milliseconds of the monotonic clock
 * @param sight which members of the rosters are seen
 * @param sealedMs since when a majority of an earlier roster grants nothing more by it, by {@link Roster#basedOn}
 * @param calls the calls to the platform's service
 */
record Upkeep(long round, long newestSinceMs, Sight sight, TreeMap<Long, Long> sealedMs, Calls calls) {
    /**
     * Which nodes are seen.
     *
     * @param leaving nodes that said they are leaving
     * @param selfLeaving whether this node is leaving
     * @param absentMs since when a member has not been among the peers
     * @param unlistedMs since when a member has been missing from the platform's list
     */
    record Sight(
            HashSet<NodeId> leaving,
            boolean selfLeaving,
            TreeMap<NodeId, Long> absentMs,
            TreeMap<NodeId, Long> unlistedMs) {}

    /**
     * The calls to the platform's service.
     *
     * @param nextReadMs when to read the rosters again
     * @param failures calls that failed since the last that did not
     * @param puts how many writes were tried
     * @param proposal the rosters being written
     * @param absent whether the service said that there are no rosters
     */
    record Calls(long nextReadMs, int failures, long puts, Option<Vector<Roster>> proposal, boolean absent) {
        Calls readAt(long atMs) {
            return new Calls(atMs, failures, puts, proposal, absent);
        }

        Calls answered(boolean nothingThere) {
            return new Calls(nextReadMs, 0, puts, Option.none(), nothingThere);
        }

        Calls failed(long retryMs) {
            return new Calls(retryMs, failures + 1, puts, Option.none(), false);
        }

        Calls propose(Vector<Roster> rosters, long retryMs) {
            return new Calls(retryMs, failures, puts + 1, Option.of(rosters), false);
        }
    }

    static Upkeep none() {
        Sight sight = new Sight(HashSet.empty(), false, TreeMap.empty(), TreeMap.empty());
        return new Upkeep(0, 0, sight, TreeMap.empty(), new Calls(0, 0, 0, Option.none(), false));
    }

    Upkeep nextRound() {
        return new Upkeep(round + 1, newestSinceMs, sight, sealedMs, calls);
    }

    Upkeep newestSince(long nowMs) {
        return new Upkeep(round, nowMs, sight, sealedMs, calls);
    }

    Upkeep with(Sight next) {
        return new Upkeep(round, newestSinceMs, next, sealedMs, calls);
    }

    Upkeep with(TreeMap<Long, Long> sealed) {
        return new Upkeep(round, newestSinceMs, sight, sealed, calls);
    }

    Upkeep with(Calls next) {
        return new Upkeep(round, newestSinceMs, sight, sealedMs, next);
    }
}
