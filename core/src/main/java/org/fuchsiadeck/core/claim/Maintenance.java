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
 * @param presence which members of the rosters are seen
 * @param fencedSinceMs since when a majority of an earlier roster grants nothing more by it, by {@link Roster#baseRevision}
 * @param calls the calls to the platform's service
 */
record Maintenance(
        long round, long newestSinceMs, Presence presence, TreeMap<Long, Long> fencedSinceMs, ServiceCalls calls) {
    /**
     * Which nodes are seen.
     *
     * @param leaving nodes that said they are leaving
     * @param selfLeaving whether this node is leaving
     * @param absentSinceMs since when a member has not been among the peers
     * @param unlistedSinceMs since when a member has been missing from the platform's list
     */
    record Presence(
            HashSet<NodeId> leaving,
            boolean selfLeaving,
            TreeMap<NodeId, Long> absentSinceMs,
            TreeMap<NodeId, Long> unlistedSinceMs) {}

    /**
     * The calls to the platform's service.
     *
     * @param nextReadMs when to read the rosters again
     * @param failures calls that failed since the last that did not
     * @param writes how many writes were tried
     * @param proposal the rosters being written
     * @param keyAbsent whether the service said that there are no rosters
     */
    record ServiceCalls(
            long nextReadMs, int failures, long writes, Option<Vector<Roster>> proposal, boolean keyAbsent) {
        ServiceCalls withNextRead(long atMs) {
            return new ServiceCalls(atMs, failures, writes, proposal, keyAbsent);
        }

        ServiceCalls afterSuccess(boolean nothingThere) {
            return new ServiceCalls(nextReadMs, 0, writes, Option.none(), nothingThere);
        }

        ServiceCalls afterFailure(long retryMs) {
            return new ServiceCalls(retryMs, failures + 1, writes, Option.none(), false);
        }

        ServiceCalls withProposal(Vector<Roster> rosters, long retryMs) {
            return new ServiceCalls(retryMs, failures, writes + 1, Option.of(rosters), false);
        }
    }

    static Maintenance initial() {
        Presence sight = new Presence(HashSet.empty(), false, TreeMap.empty(), TreeMap.empty());
        return new Maintenance(0, 0, sight, TreeMap.empty(), new ServiceCalls(0, 0, 0, Option.none(), false));
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

    Maintenance with(TreeMap<Long, Long> sealed) {
        return new Maintenance(round, newestSinceMs, presence, sealed, calls);
    }

    Maintenance with(ServiceCalls next) {
        return new Maintenance(round, newestSinceMs, presence, fencedSinceMs, next);
    }
}
