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
 * @param sight which members of the rosters are leaving or missing
 * @param sealedMs for each earlier roster under which a majority of its members no longer grants claims, the time
 *     at which this became known, in milliseconds of the monotonic clock; keyed by {@link Roster#basedOn}
 * @param calls the state of the calls to the platform's service
 */
record Maintenance(long round, long newestSinceMs, Presence sight, TreeMap<Long, Long> sealedMs, ServiceCalls calls) {
    /**
     * Which nodes are leaving or missing. Times are in milliseconds of the monotonic clock.
     *
     * @param leaving the nodes that announced that they are leaving
     * @param selfLeaving whether this node is leaving
     * @param absentMs for each member that is not among the peers, since when
     * @param unlistedMs for each member that is missing from the platform's list, since when
     */
    record Presence(
            HashSet<NodeId> leaving,
            boolean selfLeaving,
            TreeMap<NodeId, Long> absentMs,
            TreeMap<NodeId, Long> unlistedMs) {}

    /**
     * The state of the calls to the platform's service.
     *
     * @param nextReadMs the time of the next read of the rosters, in milliseconds of the monotonic clock
     * @param failures the number of calls that failed since the last success
     * @param puts the number of writes attempted
     * @param proposal the rosters being written, if a write is in progress
     * @param absent whether the last completed call was a read that found no rosters
     */
    record ServiceCalls(long nextReadMs, int failures, long puts, Option<Vector<Roster>> proposal, boolean absent) {
        ServiceCalls withNextRead(long atMs) {
            return new ServiceCalls(atMs, failures, puts, proposal, absent);
        }

        ServiceCalls afterSuccess(boolean keyAbsent) {
            return new ServiceCalls(nextReadMs, 0, puts, Option.none(), keyAbsent);
        }

        ServiceCalls afterFailure(long retryMs) {
            return new ServiceCalls(retryMs, failures + 1, puts, Option.none(), false);
        }

        ServiceCalls withProposal(Vector<Roster> rosters, long retryMs) {
            return new ServiceCalls(retryMs, failures, puts + 1, Option.of(rosters), false);
        }
    }

    static Maintenance initial() {
        Presence presence = new Presence(HashSet.empty(), false, TreeMap.empty(), TreeMap.empty());
        return new Maintenance(0, 0, presence, TreeMap.empty(), new ServiceCalls(0, 0, 0, Option.none(), false));
    }

    Maintenance nextRound() {
        return new Maintenance(round + 1, newestSinceMs, sight, sealedMs, calls);
    }

    Maintenance withNewestSince(long nowMs) {
        return new Maintenance(round, nowMs, sight, sealedMs, calls);
    }

    Maintenance with(Presence next) {
        return new Maintenance(round, newestSinceMs, next, sealedMs, calls);
    }

    Maintenance with(TreeMap<Long, Long> fenced) {
        return new Maintenance(round, newestSinceMs, sight, fenced, calls);
    }

    Maintenance with(ServiceCalls next) {
        return new Maintenance(round, newestSinceMs, sight, sealedMs, next);
    }
}
