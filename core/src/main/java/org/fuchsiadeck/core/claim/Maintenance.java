package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The state that a node needs to keep the rosters in the platform's service up to date.
 *
 * @param round the number of the current round of maintenance
 * @param newestSinceMs the time at which this node received the newest roster, in milliseconds of the monotonic clock
 * @param presence which members of the rosters are leaving or missing
 * @param fencedSinceMs for each earlier roster under which a majority of its members no longer grants claims, the time
 *     at which this became known, in milliseconds of the monotonic clock; keyed by {@link Roster#baseRevision}
 * @param calls the state of the calls to the platform's service
 */
record Maintenance(
        long round, long newestSinceMs, Presence presence, TreeMap<Long, Long> fencedSinceMs, ServiceCalls calls) {
    /**
     * Which nodes are leaving or missing. Times are in milliseconds of the monotonic clock.
     *
     * @param leaving the nodes that announced that they are leaving
     * @param selfLeaving whether this node is leaving
     * @param absentSinceMs for each member that is not among the peers, since when
     * @param unlistedSinceMs for each member that is missing from the platform's list, since when
     */
    record Presence(
            HashSet<NodeId> leaving,
            boolean selfLeaving,
            TreeMap<NodeId, Long> absentSinceMs,
            TreeMap<NodeId, Long> unlistedSinceMs) {}

    /**
     * The state of the calls to the platform's service.
     *
     * @param nextReadMs the time of the next read of the rosters, in milliseconds of the monotonic clock
     * @param failures the number of calls that failed since the last success
     * @param writes the number of writes attempted
     * @param proposal the rosters being written, if a write is in progress
     * @param keyAbsent whether the last completed call was a read that found no rosters
     */
    record ServiceCalls(
            long nextReadMs, int failures, long writes, Option<Vector<Roster>> proposal, boolean keyAbsent) {
        ServiceCalls withNextRead(long atMs) {
            return new ServiceCalls(atMs, failures, writes, proposal, keyAbsent);
        }

        ServiceCalls afterSuccess(boolean absent) {
            return new ServiceCalls(nextReadMs, 0, writes, Option.none(), absent);
        }

        ServiceCalls afterFailure(long retryMs) {
            return new ServiceCalls(retryMs, failures + 1, writes, Option.none(), false);
        }

        ServiceCalls withProposal(Vector<Roster> rosters, long retryMs) {
            return new ServiceCalls(retryMs, failures, writes + 1, Option.of(rosters), false);
        }
    }

    static Maintenance initial() {
        Presence presence = new Presence(HashSet.empty(), false, TreeMap.empty(), TreeMap.empty());
        return new Maintenance(0, 0, presence, TreeMap.empty(), new ServiceCalls(0, 0, 0, Option.none(), false));
    }

    Maintenance nextRound() {
        return new Maintenance(round + 1, newestSinceMs, presence, fencedSinceMs, calls);
    }

    Maintenance withNewestSince(long nowMs) {
        return new Maintenance(round, nowMs, presence, fencedSinceMs, calls);
    }

    Maintenance with(Presence next) {
        return new Maintenance(round, newestSinceMs, next, fencedSinceMs, calls);
    }

    Maintenance with(TreeMap<Long, Long> fenced) {
        return new Maintenance(round, newestSinceMs, presence, fenced, calls);
    }

    Maintenance with(ServiceCalls next) {
        return new Maintenance(round, newestSinceMs, presence, fencedSinceMs, next);
    }
}
