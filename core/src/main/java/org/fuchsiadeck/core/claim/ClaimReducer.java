package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.LifecycleEvent;
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
 * Claims idempotency keys for this node's requests, and stores the claims on keys that this node owns. A claim is
 * granted once, in each current roster, a majority of the key's owners has stored it and has no other active claim on
 * the key.
 */
public final class ClaimReducer implements Reducer<ClaimState> {
    /** The interval between two rounds of maintenance, in milliseconds. */
    static final long MAINTENANCE_INTERVAL_MS = 1_000;

    private static final int ROUNDS_PER_EXPIRY = 10;

    @Override
    public Step<ClaimState> reduce(ClaimState state, View view, Event event) {
        ClaimContext context = new ClaimContext(state, view);
        if (event instanceof ClaimEvent claim) {
            reduce(context, claim);
        } else if (event instanceof PeerReceived received && received.message() instanceof ClaimMessage message) {
            reduce(context, received.from(), message);
        } else if (event instanceof PlatformEvent.Listed listed) {
            updateUnlisted(context, listed);
        } else if (event instanceof PlatformEvent answer) {
            RosterStore.onPlatformEvent(context, answer);
        } else if (event instanceof MembershipEvent.Changed changed) {
            updateLeaving(context, changed);
        } else if (event instanceof LifecycleEvent.Started) {
            context.schedule(0, new ClaimEvent.Ticked());
        } else if (event instanceof LifecycleEvent.StopRequested) {
            Presence presence = context.state.upkeep().sight();
            setPresence(context, new Presence(presence.leaving(), true, presence.absentMs(), presence.unlistedMs()));
        }
        return context.toStep();
    }

    private static void reduce(ClaimContext context, ClaimEvent event) {
        if (event instanceof ClaimEvent.Wanted wanted) {
            Requester.onWanted(context, wanted);
        } else if (event instanceof ClaimEvent.Settled settled) {
            Requester.onSettled(context, settled);
        } else if (event instanceof ClaimEvent.RetryDue retry) {
            Requester.onRetryDue(context, retry.number());
        } else if (event instanceof ClaimEvent.Ticked) {
            runMaintenance(context);
        }
    }

    private static void reduce(ClaimContext context, NodeId from, ClaimMessage message) {
        if (message instanceof ClaimMessage.Request request) {
            Owner.onRequest(context, from, request);
        } else if (message instanceof ClaimMessage.Reply reply) {
            Requester.onReply(context, from, reply);
        } else if (message instanceof ClaimMessage.Settle settle) {
            Owner.onSettle(context, from, settle);
        } else if (message instanceof ClaimMessage.SettleAck ack) {
            Requester.onSettleAck(context, from, ack.id());
        } else if (message instanceof ClaimMessage.RosterNews update) {
            RosterSync.adopt(context, update.chain());
        } else if (message instanceof ClaimMessage.Digest digest) {
            RosterSync.onDigest(context, from, digest);
        } else if (message instanceof ClaimMessage.Pull pull) {
            RosterSync.onPull(context, from, pull);
        } else if (message instanceof ClaimMessage.PullReply reply) {
            RosterSync.onPullReply(context, from, reply);
        }
    }

    private static void runMaintenance(ClaimContext context) {
        context.schedule(MAINTENANCE_INTERVAL_MS, new ClaimEvent.Ticked());
        context.state = context.state.with(context.state.upkeep().nextRound());
        updateAbsent(context);
        Requester.resendSettlements(context);
        if (context.state.upkeep().round() % ROUNDS_PER_EXPIRY == 0) {
            context.state = context.state.with(context.state.ledger().expire(context.nowMs));
            context.state = context.state.with(context.state.asking().expire(context.nowMs));
        }
        RosterSync.runRound(context);
        RosterPlan.updateFenced(context);
        RosterStore.readIfDue(context);
        RosterStore.writeIfChanged(context);
    }

    private static void updateAbsent(ClaimContext context) {
        Vector<NodeId> absent = members(context)
                .filter(id -> !id.equals(context.self)
                        && !context.view.peers().alive().containsKey(id));
        Presence presence = context.state.upkeep().sight();
        TreeMap<NodeId, Long> absentMs = RosterStore.trackMissing(presence.absentMs(), absent, context.nowMs);
        setPresence(context, new Presence(presence.leaving(), presence.selfLeaving(), absentMs, presence.unlistedMs()));
    }

    /**
     * Updates which members are missing from the platform's list. A list without this node is not evaluated, because it
     * may identify nodes differently.
     */
    private static void updateUnlisted(ClaimContext context, PlatformEvent.Listed listed) {
        HashSet<NodeId> ids = HashSet.ofAll(listed.nodes()).map(Peer::id);
        Presence presence = context.state.upkeep().sight();
        Vector<NodeId> unlisted =
                ids.contains(context.self) ? members(context).filter(id -> !ids.contains(id)) : Vector.empty();
        TreeMap<NodeId, Long> unlistedMs = RosterStore.trackMissing(presence.unlistedMs(), unlisted, context.nowMs);
        setPresence(context, new Presence(presence.leaving(), presence.selfLeaving(), presence.absentMs(), unlistedMs));
    }

    private static void updateLeaving(ClaimContext context, MembershipEvent.Changed changed) {
        Presence presence = context.state.upkeep().sight();
        HashSet<NodeId> leaving = HashSet.ofAll(changed.leaving());
        setPresence(context, new Presence(leaving, presence.selfLeaving(), presence.absentMs(), presence.unlistedMs()));
    }

    private static Vector<NodeId> members(ClaimContext context) {
        return context.state.chain().map(RosterChain::members).getOrElse(Vector.empty());
    }

    private static void setPresence(ClaimContext context, Presence presence) {
        context.state = context.state.with(context.state.upkeep().with(presence));
    }
}
