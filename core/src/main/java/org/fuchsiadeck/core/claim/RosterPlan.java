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
 * Computes the rosters that should be in use: the members of the newest, and which earlier ones are no longer needed.
 */
final class RosterPlan {
    /** The maximum number of members of a roster, independent of the size of the fleet. */
    static final int MAX_MEMBERS = 16;

    private static final int MAX_ROSTERS = 16;
    /**
     * Minimum age of the newest roster before another is added while earlier ones are still needed, in milliseconds.
     */
    private static final long MIN_CHANGE_INTERVAL_MS = 3_000;

    private static final long ABSENT_REMOVAL_DELAY_MS = 5_000;
    private static final long UNLISTED_REMOVAL_DELAY_MS = 60_000;
    /** The allowance for clock drift is the claim lifetime divided by this. */
    private static final int DRIFT_DIVISOR = 10;

    private RosterPlan() {}

    /** Returns the rosters that should be in use; empty if there are no candidates for the first. */
    static Vector<Roster> plan(ClaimContext context) {
        RosterChain chain = context.state.chain().getOrNull();
        if (chain == null) {
            TreeMap<NodeId, Peer> first = withNewMembers(context, TreeMap.empty());
            return first.isEmpty() ? Vector.empty() : Vector.of(new Roster(0, first));
        }
        Vector<Roster> kept =
                chain.earlier().filter(r -> !isRetirable(context, chain, r)).append(chain.newest());
        TreeMap<NodeId, Peer> wanted = withNewMembers(context, withoutDepartedMembers(context, chain.newest()));
        boolean changeAllowed =
                kept.size() == 1 || context.nowMs - context.state.upkeep().newestSinceMs() >= MIN_CHANGE_INTERVAL_MS;
        boolean unchanged = wanted.keySet().equals(chain.newest().members().keySet());
        if (unchanged || wanted.isEmpty() || !changeAllowed || kept.size() >= MAX_ROSTERS) {
            return kept;
        }
        return kept.append(new Roster(chain.revision(), wanted));
    }

    private static boolean isRetirable(ClaimContext context, RosterChain chain, Roster earlier) {
        Set<NodeId> newest = chain.newest().members().keySet();
        if (context.state.takeover().isTakenOverByAll(earlier, newest)) {
            return true;
        }
        long lifetimeMs = context.claimLifetimeMs();
        long waitMs =
                lifetimeMs + lifetimeMs / DRIFT_DIVISOR + PeerRevisions.CONFIRMATION_TTL_MS + 2 * Requester.TIMEOUT_MS;
        return context.state.upkeep().sealedMs().get(earlier.basedOn()).exists(at -> context.nowMs - at >= waitMs);
    }

    /**
     * Records since when a majority of the members of each earlier roster is known to no longer grant claims under it.
     */
    static void updateFenced(ClaimContext context) {
        RosterChain chain = context.state.chain().getOrNull();
        if (chain == null) {
            return;
        }
        TreeMap<Long, Long> known = context.state.upkeep().sealedMs();
        TreeMap<Long, Long> fenced = TreeMap.empty();
        for (Roster earlier : chain.earlier()) {
            if (isFenced(context, chain, earlier)) {
                fenced = fenced.put(earlier.basedOn(), known.getOrElse(earlier.basedOn(), context.nowMs));
            }
        }
        context.state = context.state.with(context.state.upkeep().with(fenced));
    }

    private static boolean isFenced(ClaimContext context, RosterChain chain, Roster earlier) {
        long successorBaseRevision = chain.successor(earlier).basedOn();
        Set<NodeId> informed =
                context.state.contacts().newerThan(successorBaseRevision).add(context.self);
        Set<NodeId> gone = earlier.members().keySet().filter(id -> isGone(context, id));
        return earlier.hasMajority(informed.union(gone));
    }

    /** Returns whether a node is not among the peers and has long been missing from the platform's list. */
    static boolean isGone(ClaimContext context, NodeId id) {
        Presence presence = context.state.upkeep().sight();
        return presence.absentMs().containsKey(id)
                && presence.unlistedMs().get(id).exists(at -> context.nowMs - at >= UNLISTED_REMOVAL_DELAY_MS);
    }

    private static TreeMap<NodeId, Peer> withoutDepartedMembers(ClaimContext context, Roster newest) {
        Presence presence = context.state.upkeep().sight();
        Set<NodeId> members = newest.members().keySet();
        HashSet<NodeId> leaving = presence.selfLeaving() ? presence.leaving().add(context.self) : presence.leaving();
        int present =
                members.count(id -> leaving.contains(id) || !presence.absentMs().containsKey(id));
        boolean halfPresent = 2 * present >= members.size();
        return newest.members().filterKeys(id -> {
            boolean absent = presence.absentMs().get(id).exists(at -> context.nowMs - at >= ABSENT_REMOVAL_DELAY_MS);
            return !leaving.contains(id) && !(absent && halfPresent) && !isGone(context, id);
        });
    }

    private static TreeMap<NodeId, Peer> withNewMembers(ClaimContext context, TreeMap<NodeId, Peer> members) {
        Vector<Peer> others = Vector.ofAll(context.view.peers().alive().values());
        Peer self = new Peer(
                context.self,
                context.view.self().peerAddress(),
                context.view.self().zone());
        Vector<Peer> available = context.state.upkeep().sight().selfLeaving() ? others : others.append(self);
        Vector<Peer> candidates =
                available.filter(p -> !members.containsKey(p.id())).sortBy(Peer::id);
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
