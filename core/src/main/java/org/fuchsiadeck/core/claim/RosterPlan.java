package org.fuchsiadeck.core.claim;

import java.util.Comparator;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.claim.Maintenance.Presence;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers.Peer;

/**
 * Decides what the rosters should be: who is in the newest, and which earlier ones are no longer needed.
 */
final class RosterPlan {
    /** Most members of a roster, whatever the size of the fleet. */
    static final int MAX_MEMBERS = 16;

    private static final int MAX_ROSTERS = 16;
    private static final long SETTLE_MS = 3_000;
    private static final long ABSENT_MS = 5_000;
    private static final long UNLISTED_MS = 60_000;
    private static final int DRIFT_DIVISOR = 10;

    private RosterPlan() {}

    /** Returns the rosters as they should be; empty if there can be none. */
    static Vector<Roster> plan(ClaimContext turn) {
        RosterChain chain = turn.state.chain().getOrNull();
        if (chain == null) {
            TreeMap<NodeId, Peer> first = add(turn, TreeMap.empty());
            return first.isEmpty() ? Vector.empty() : Vector.of(new Roster(0, first));
        }
        Vector<Roster> kept =
                chain.earlier().filter(r -> !retirable(turn, chain, r)).append(chain.newest());
        TreeMap<NodeId, Peer> wanted = add(turn, remove(turn, chain.newest()));
        boolean settled =
                kept.size() == 1 || turn.nowMs - turn.state.maintenance().newestSinceMs() >= SETTLE_MS;
        boolean same = wanted.keySet().equals(chain.newest().members().keySet());
        if (same || wanted.isEmpty() || !settled || kept.size() >= MAX_ROSTERS) {
            return kept;
        }
        return kept.append(new Roster(chain.revision(), wanted));
    }

    private static boolean retirable(ClaimContext turn, RosterChain chain, Roster earlier) {
        Set<NodeId> newest = chain.newest().members().keySet();
        if (turn.state.takeover().isTakenOverByAll(earlier, newest)) {
            return true;
        }
        long lifetimeMs = turn.claimLifetimeMs();
        long waitMs =
                lifetimeMs + lifetimeMs / DRIFT_DIVISOR + PeerRevisions.CONFIRMATION_TTL_MS + 2 * Requester.TIMEOUT_MS;
        return turn.state
                .maintenance()
                .fencedSinceMs()
                .get(earlier.baseRevision())
                .exists(at -> turn.nowMs - at >= waitMs);
    }

    /** Notes since when a majority of each earlier roster is known to grant nothing more by it. */
    static void updateFenced(ClaimContext turn) {
        RosterChain chain = turn.state.chain().getOrNull();
        if (chain == null) {
            return;
        }
        TreeMap<Long, Long> known = turn.state.maintenance().fencedSinceMs();
        TreeMap<Long, Long> sealed = TreeMap.empty();
        for (Roster earlier : chain.earlier()) {
            if (sealed(turn, chain, earlier)) {
                sealed = sealed.put(earlier.baseRevision(), known.getOrElse(earlier.baseRevision(), turn.nowMs));
            }
        }
        turn.state = turn.state.with(turn.state.maintenance().with(sealed));
    }

    private static boolean sealed(ClaimContext turn, RosterChain chain, Roster earlier) {
        long before = chain.successor(earlier).baseRevision();
        Set<NodeId> beyond = turn.state.peerRevisions().newerThan(before).add(turn.self);
        Set<NodeId> gone = earlier.members().keySet().filter(id -> isGone(turn, id));
        return earlier.hasMajority(beyond.union(gone));
    }

    /** Tells whether the platform has long ceased to list a node that is not seen either. */
    static boolean isGone(ClaimContext turn, NodeId id) {
        Presence sight = turn.state.maintenance().presence();
        return sight.absentSinceMs().containsKey(id)
                && sight.unlistedSinceMs().get(id).exists(at -> turn.nowMs - at >= UNLISTED_MS);
    }

    private static TreeMap<NodeId, Peer> remove(ClaimContext turn, Roster newest) {
        Presence sight = turn.state.maintenance().presence();
        Set<NodeId> members = newest.members().keySet();
        HashSet<NodeId> leaving = sight.selfLeaving() ? sight.leaving().add(turn.self) : sight.leaving();
        int heard = members.count(
                id -> leaving.contains(id) || !sight.absentSinceMs().containsKey(id));
        boolean enough = 2 * heard >= members.size();
        return newest.members().filterKeys(id -> {
            boolean absent = sight.absentSinceMs().get(id).exists(at -> turn.nowMs - at >= ABSENT_MS);
            return !leaving.contains(id) && !(absent && enough) && !isGone(turn, id);
        });
    }

    private static TreeMap<NodeId, Peer> add(ClaimContext turn, TreeMap<NodeId, Peer> members) {
        Vector<Peer> others = Vector.ofAll(turn.view.peers().alive().values());
        Peer self = new Peer(
                turn.self, turn.view.self().peerAddress(), turn.view.self().zone());
        Vector<Peer> here = turn.state.maintenance().presence().selfLeaving() ? others : others.append(self);
        Vector<Peer> candidates = here.filter(p -> !members.containsKey(p.id())).sortBy(Peer::id);
        TreeMap<NodeId, Peer> next = members;
        while (next.size() < MAX_MEMBERS && candidates.nonEmpty()) {
            Peer peer = fromRarestZone(candidates, next);
            next = next.put(peer.id(), peer);
            candidates = candidates.remove(peer);
        }
        return next;
    }

    private static Peer fromRarestZone(Vector<Peer> candidates, TreeMap<NodeId, Peer> members) {
        return candidates
                .minBy(Comparator.comparingInt(
                        c -> members.values().count(m -> m.zone().equals(c.zone()))))
                .get();
    }
}
