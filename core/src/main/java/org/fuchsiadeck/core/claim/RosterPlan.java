package org.fuchsiadeck.core.claim;

import java.util.Comparator;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.claim.Upkeep.Sight;
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
    static Vector<Roster> next(Turn turn) {
        RosterChain chain = turn.state.chain().getOrNull();
        if (chain == null) {
            TreeMap<NodeId, Peer> first = add(turn, TreeMap.empty());
            return first.isEmpty() ? Vector.empty() : Vector.of(new Roster(0, first));
        }
        Vector<Roster> kept =
                chain.older().filter(r -> !retirable(turn, chain, r)).append(chain.newest());
        TreeMap<NodeId, Peer> wanted = add(turn, remove(turn, chain.newest()));
        boolean settled = kept.size() == 1 || turn.nowMs - turn.state.upkeep().newestSinceMs() >= SETTLE_MS;
        boolean same = wanted.keySet().equals(chain.newest().members().keySet());
        if (same || wanted.isEmpty() || !settled || kept.size() >= MAX_ROSTERS) {
            return kept;
        }
        return kept.append(new Roster(chain.revision(), wanted));
    }

    private static boolean retirable(Turn turn, RosterChain chain, Roster earlier) {
        Set<NodeId> newest = chain.newest().members().keySet();
        if (turn.state.takeover().retirable(earlier, newest)) {
            return true;
        }
        long lifetimeMs = turn.lifetimeMs();
        long waitMs = lifetimeMs + lifetimeMs / DRIFT_DIVISOR + Contacts.FRESH_MS + 2 * Requester.TIMEOUT_MS;
        return turn.state.upkeep().sealedMs().get(earlier.basedOn()).exists(at -> turn.nowMs - at >= waitMs);
    }

    /** Notes since when a majority of each earlier roster is known to grant nothing more by it. */
    static void noteSealed(Turn turn) {
        RosterChain chain = turn.state.chain().getOrNull();
        if (chain == null) {
            return;
        }
        TreeMap<Long, Long> known = turn.state.upkeep().sealedMs();
        TreeMap<Long, Long> sealed = TreeMap.empty();
        for (Roster earlier : chain.older()) {
            if (sealed(turn, chain, earlier)) {
                sealed = sealed.put(earlier.basedOn(), known.getOrElse(earlier.basedOn(), turn.nowMs));
            }
        }
        turn.state = turn.state.with(turn.state.upkeep().with(sealed));
    }

    private static boolean sealed(Turn turn, RosterChain chain, Roster earlier) {
        long before = chain.successor(earlier).basedOn();
        Set<NodeId> beyond = turn.state.contacts().beyond(before).add(turn.self);
        Set<NodeId> gone = earlier.members().keySet().filter(id -> gone(turn, id));
        return earlier.hasMajority(beyond.union(gone));
    }

    /** Tells whether the platform has long ceased to list a node that is not seen either. */
    static boolean gone(Turn turn, NodeId id) {
        Sight sight = turn.state.upkeep().sight();
        return sight.absentMs().containsKey(id)
                && sight.unlistedMs().get(id).exists(at -> turn.nowMs - at >= UNLISTED_MS);
    }

    private static TreeMap<NodeId, Peer> remove(Turn turn, Roster newest) {
        Sight sight = turn.state.upkeep().sight();
        Set<NodeId> members = newest.members().keySet();
        HashSet<NodeId> leaving = sight.selfLeaving() ? sight.leaving().add(turn.self) : sight.leaving();
        int heard =
                members.count(id -> leaving.contains(id) || !sight.absentMs().containsKey(id));
        boolean enough = 2 * heard >= members.size();
        return newest.members().filterKeys(id -> {
            boolean absent = sight.absentMs().get(id).exists(at -> turn.nowMs - at >= ABSENT_MS);
            return !leaving.contains(id) && !(absent && enough) && !gone(turn, id);
        });
    }

    private static TreeMap<NodeId, Peer> add(Turn turn, TreeMap<NodeId, Peer> members) {
        Vector<Peer> others = Vector.ofAll(turn.view.peers().alive().values());
        Peer self = new Peer(
                turn.self, turn.view.self().peerAddress(), turn.view.self().zone());
        Vector<Peer> here = turn.state.upkeep().sight().selfLeaving() ? others : others.append(self);
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
