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
import org.fuchsiadeck.core.claim.Upkeep.Sight;
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
    static final long ROUND_MS = 1_000;

    private static final int ROUNDS_PER_EXPIRY = 10;

    @Override
    public Step<ClaimState> reduce(ClaimState state, View view, Event event) {
        Turn turn = new Turn(state, view);
        if (event instanceof ClaimEvent claim) {
            reduce(turn, claim);
        } else if (event instanceof PeerReceived received && received.message() instanceof ClaimMessage message) {
            reduce(turn, received.from(), message);
        } else if (event instanceof PlatformEvent.Listed listed) {
            listed(turn, listed);
        } else if (event instanceof PlatformEvent answer) {
            RosterKeeper.answered(turn, answer);
        } else if (event instanceof MembershipEvent.Changed changed) {
            sight(turn, changed);
        } else if (event instanceof Lifecycle.Started) {
            turn.schedule(0, new ClaimEvent.Ticked());
        } else if (event instanceof Lifecycle.StopRequested) {
            Sight sight = turn.state.upkeep().sight();
            see(turn, new Sight(sight.leaving(), true, sight.absentMs(), sight.unlistedMs()));
        }
        return turn.step();
    }

    private static void reduce(Turn turn, ClaimEvent event) {
        if (event instanceof ClaimEvent.Wanted wanted) {
            Requester.wanted(turn, wanted);
        } else if (event instanceof ClaimEvent.Settled settled) {
            Requester.settled(turn, settled);
        } else if (event instanceof ClaimEvent.RetryDue retry) {
            Requester.retryDue(turn, retry.number());
        } else if (event instanceof ClaimEvent.Ticked) {
            round(turn);
        }
    }

    private static void reduce(Turn turn, NodeId from, ClaimMessage message) {
        if (message instanceof ClaimMessage.Request request) {
            Owner.requested(turn, from, request);
        } else if (message instanceof ClaimMessage.Reply reply) {
            Requester.replied(turn, from, reply);
        } else if (message instanceof ClaimMessage.Settle settle) {
            Owner.settled(turn, from, settle);
        } else if (message instanceof ClaimMessage.SettleAck ack) {
            Requester.acknowledged(turn, from, ack.id());
        } else if (message instanceof ClaimMessage.RosterNews news) {
            RosterSync.adopt(turn, news.chain());
        } else if (message instanceof ClaimMessage.Digest digest) {
            RosterSync.digested(turn, from, digest);
        } else if (message instanceof ClaimMessage.Pull pull) {
            RosterSync.pulled(turn, from, pull);
        } else if (message instanceof ClaimMessage.PullReply reply) {
            RosterSync.pullReplied(turn, from, reply);
        }
    }

    private static void round(Turn turn) {
        turn.schedule(ROUND_MS, new ClaimEvent.Ticked());
        turn.state = turn.state.with(turn.state.upkeep().nextRound());
        look(turn);
        Requester.resendSettlements(turn);
        if (turn.state.upkeep().round() % ROUNDS_PER_EXPIRY == 0) {
            turn.state = turn.state.with(turn.state.ledger().expire(turn.nowMs));
            turn.state = turn.state.with(turn.state.asking().expire(turn.nowMs));
        }
        RosterSync.round(turn);
        RosterPlan.noteSealed(turn);
        RosterKeeper.round(turn);
        RosterKeeper.keep(turn);
    }

    private static void look(Turn turn) {
        Vector<NodeId> absent = members(turn)
                .filter(id ->
                        !id.equals(turn.self) && !turn.view.peers().alive().containsKey(id));
        Sight sight = turn.state.upkeep().sight();
        TreeMap<NodeId, Long> absentMs = RosterKeeper.track(sight.absentMs(), absent, turn.nowMs);
        see(turn, new Sight(sight.leaving(), sight.selfLeaving(), absentMs, sight.unlistedMs()));
    }

    /** A list that does not name this node says nothing of the others: it may name nodes in another way. */
    private static void listed(Turn turn, PlatformEvent.Listed listed) {
        HashSet<NodeId> ids = HashSet.ofAll(listed.nodes()).map(Peer::id);
        Sight sight = turn.state.upkeep().sight();
        Vector<NodeId> unlisted =
                ids.contains(turn.self) ? members(turn).filter(id -> !ids.contains(id)) : Vector.empty();
        TreeMap<NodeId, Long> unlistedMs = RosterKeeper.track(sight.unlistedMs(), unlisted, turn.nowMs);
        see(turn, new Sight(sight.leaving(), sight.selfLeaving(), sight.absentMs(), unlistedMs));
    }

    private static void sight(Turn turn, MembershipEvent.Changed changed) {
        Sight sight = turn.state.upkeep().sight();
        HashSet<NodeId> leaving = HashSet.ofAll(changed.leaving());
        see(turn, new Sight(leaving, sight.selfLeaving(), sight.absentMs(), sight.unlistedMs()));
    }

    private static Vector<NodeId> members(Turn turn) {
        return turn.state.chain().map(RosterChain::members).getOrElse(Vector.empty());
    }

    private static void see(Turn turn, Sight sight) {
        turn.state = turn.state.with(turn.state.upkeep().with(sight));
    }
}
