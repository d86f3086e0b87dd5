package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.claim.Maintenance.Presence;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers.Peer;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Claims idempotency keys for this node's requests, and keeps the claims of others. A claim is granted when of each
 * roster in force a majority of the key's owners has recorded it and knows of no other.
 */
public final class ClaimReducer implements Reducer<ClaimState> {
    /** Time from one round of upkeep to the next, in milliseconds. */
    static final long MAINTENANCE_INTERVAL_MS = 1_000;

    private static final int ROUNDS_PER_EXPIRY = 10;

    @Override
    public Step<ClaimState> reduce(ClaimState state, View view, Event event) {
        ClaimContext turn = new ClaimContext(state, view);
        if (event instanceof ClaimEvent claim) {
            reduce(turn, claim);
        } else if (event instanceof PeerReceived received && received.message() instanceof ClaimMessage message) {
            reduce(turn, received.from(), message);
        } else if (event instanceof PlatformEvent.Listed listed) {
            listed(turn, listed);
        } else if (event instanceof PlatformEvent answer) {
            RosterStore.handleServiceEvent(turn, answer);
        } else if (event instanceof MembershipEvent.Changed changed) {
            sight(turn, changed);
        } else if (event instanceof Lifecycle.Started) {
            turn.schedule(0, new ClaimEvent.Ticked());
        } else if (event instanceof Lifecycle.StopRequested) {
            Presence sight = turn.state.maintenance().presence();
            see(turn, new Presence(sight.leaving(), true, sight.absentSinceMs(), sight.unlistedSinceMs()));
        }
        return turn.toStep();
    }

    private static void reduce(ClaimContext turn, ClaimEvent event) {
        if (event instanceof ClaimEvent.Wanted wanted) {
            Requester.handleWanted(turn, wanted);
        } else if (event instanceof ClaimEvent.Settled settled) {
            Requester.handleSettled(turn, settled);
        } else if (event instanceof ClaimEvent.RetryDue retry) {
            Requester.handleRetryDue(turn, retry.number());
        } else if (event instanceof ClaimEvent.Ticked) {
            round(turn);
        }
    }

    private static void reduce(ClaimContext turn, NodeId from, ClaimMessage message) {
        if (message instanceof ClaimMessage.Request request) {
            Owner.handleRequest(turn, from, request);
        } else if (message instanceof ClaimMessage.Reply reply) {
            Requester.handleReply(turn, from, reply);
        } else if (message instanceof ClaimMessage.Settle settle) {
            Owner.handleSettle(turn, from, settle);
        } else if (message instanceof ClaimMessage.SettleAck ack) {
            Requester.handleSettleAck(turn, from, ack.id());
        } else if (message instanceof ClaimMessage.RosterNews news) {
            RosterSync.adopt(turn, news.chain());
        } else if (message instanceof ClaimMessage.Digest digest) {
            RosterSync.handleDigest(turn, from, digest);
        } else if (message instanceof ClaimMessage.Pull pull) {
            RosterSync.handlePull(turn, from, pull);
        } else if (message instanceof ClaimMessage.PullReply reply) {
            RosterSync.handlePullReply(turn, from, reply);
        }
    }

    private static void round(ClaimContext turn) {
        turn.schedule(MAINTENANCE_INTERVAL_MS, new ClaimEvent.Ticked());
        turn.state = turn.state.with(turn.state.maintenance().nextRound());
        look(turn);
        Requester.resendSettlements(turn);
        if (turn.state.maintenance().round() % ROUNDS_PER_EXPIRY == 0) {
            turn.state = turn.state.with(turn.state.ownerClaims().expire(turn.nowMs));
            turn.state = turn.state.with(turn.state.requesterClaims().expire(turn.nowMs));
        }
        RosterSync.runRound(turn);
        RosterPlan.updateFenced(turn);
        RosterStore.readIfDue(turn);
        RosterStore.writeIfChanged(turn);
    }

    private static void look(ClaimContext turn) {
        Vector<NodeId> absent = members(turn)
                .filter(id ->
                        !id.equals(turn.self) && !turn.view.peers().alive().containsKey(id));
        Presence sight = turn.state.maintenance().presence();
        TreeMap<NodeId, Long> absentMs = RosterStore.trackMissing(sight.absentSinceMs(), absent, turn.nowMs);
        see(turn, new Presence(sight.leaving(), sight.selfLeaving(), absentMs, sight.unlistedSinceMs()));
    }

    /** A list that does not name this node says nothing of the others: it may name nodes in another way. */
    private static void listed(ClaimContext turn, PlatformEvent.Listed listed) {
        HashSet<NodeId> ids = HashSet.ofAll(listed.nodes()).map(Peer::id);
        Presence sight = turn.state.maintenance().presence();
        Vector<NodeId> unlisted =
                ids.contains(turn.self) ? members(turn).filter(id -> !ids.contains(id)) : Vector.empty();
        TreeMap<NodeId, Long> unlistedMs = RosterStore.trackMissing(sight.unlistedSinceMs(), unlisted, turn.nowMs);
        see(turn, new Presence(sight.leaving(), sight.selfLeaving(), sight.absentSinceMs(), unlistedMs));
    }

    private static void sight(ClaimContext turn, MembershipEvent.Changed changed) {
        Presence sight = turn.state.maintenance().presence();
        HashSet<NodeId> leaving = HashSet.ofAll(changed.leaving());
        see(turn, new Presence(leaving, sight.selfLeaving(), sight.absentSinceMs(), sight.unlistedSinceMs()));
    }

    private static Vector<NodeId> members(ClaimContext turn) {
        return turn.state.chain().map(RosterChain::members).getOrElse(Vector.empty());
    }

    private static void see(ClaimContext turn, Presence sight) {
        turn.state = turn.state.with(turn.state.maintenance().with(sight));
    }
}
