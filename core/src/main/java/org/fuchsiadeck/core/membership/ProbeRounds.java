package org.fuchsiadeck.core.membership;

import java.util.ArrayList;
import java.util.List;

import io.vavr.collection.LinkedHashSet;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.Member.Status;
import org.fuchsiadeck.core.membership.MembershipMessage.PingRequest;
import org.fuchsiadeck.core.membership.ProbeState.Probe;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.SplitMix64.Drawn;

/**
 * Runs the periodic probe rounds. Each round probes one node and handles probes and suspicions that have timed out. The
 * number of messages that a node sends in a round is bounded, whatever the number of nodes.
 */
final class ProbeRounds {
    /** Time between the starts of two rounds, in milliseconds. */
    static final long PROBE_INTERVAL_MS = 1_000;

    /** Wait for the answer to a direct probe before indirect probes are requested, in milliseconds. */
    static final long DIRECT_PROBE_TIMEOUT_MS = 300;

    private static final int INDIRECT_PROBE_COUNT = 2;
    private static final long SUSPICION_BASE_MS = 3_000;
    private static final long SUSPICION_PER_DOUBLING_MS = 500;
    private static final int ROUNDS_PER_SYNC = 30;
    private static final int ROUNDS_PER_ABSENT_PING = 5;
    private static final int JOIN_SYNCS_PER_ROUND = 3;
    private static final int LEAVE_FANOUT = 16;

    /**
     * Number of nodes with which a new node syncs at once. It covers all of a small deployment, so that nodes that all
     * restart at once find each other soon.
     */
    private static final int JOIN_FANOUT = 16;

    /** Number of rounds during which a node counts as new. */
    private static final int JOIN_ROUNDS = 5;

    private final View view;
    private final long nowMs;
    private final MessageHandler messages;

    ProbeRounds(View view) {
        this.view = view;
        this.nowMs = view.nowMs();
        this.messages = new MessageHandler(view);
    }

    Step<MembershipState> onTick(MembershipState state, long dueMs) {
        List<Effect> out = new ArrayList<>();
        boolean paused = nowMs - dueMs > PROBE_INTERVAL_MS;
        MembershipState next = paused ? state.with(state.table().restartSuspicions(nowMs)) : suspectUnanswered(state);
        next = next.with(next.table().expire(nowMs, suspicionTimeoutMs(next)));
        next = next.with(next.probing().nextRound(nowMs));
        next = probeNext(next, out);
        next = reconnectOrSync(next, out);
        long atMs = nowMs + PROBE_INTERVAL_MS;
        out.add(new Effect.Schedule(atMs, new MembershipEvent.Ticked(atMs)));
        return new Step<>(next, out);
    }

    /** Syncs with the addresses that were added to the platform's list, as long as this node is new. */
    Step<MembershipState> onListed(MembershipState state, LinkedHashSet<Address> before) {
        if (state.probing().round() > JOIN_ROUNDS) {
            return Step.of(state);
        }
        List<Effect> out = new ArrayList<>();
        Vector<Address> added = absentAddresses(state).removeAll(before);
        return new Step<>(sendSyncs(state, added, JOIN_FANOUT, out), out);
    }

    /** Considers the registered nodes alive. If this node knew no other, it also syncs with one of them. */
    Step<MembershipState> onRegistered(MembershipState state, List<Peers.Peer> nodes) {
        MembershipState next = state.with(state.table().withListed(view.self(), nodes, nowMs));
        List<Effect> out = new ArrayList<>();
        if (state.table().entries().isEmpty()) {
            next = sendSyncs(next, presentMembers(next).map(Member::address), 1, out);
        }
        return new Step<>(next, out);
    }

    private MembershipState suspectUnanswered(MembershipState state) {
        Probe probe = state.probing().current().getOrNull();
        if (probe == null) {
            return state;
        }
        MemberTable table = state.table();
        Status status = table.entries()
                .get(probe.target())
                .map(e -> e.member().status())
                .getOrElse(Status.DEAD);
        Status next = status == Status.LEAVING ? Status.DEAD : Status.SUSPECT;
        return state.with(table.withStatus(probe.target(), next, nowMs));
    }

    private static long suspicionTimeoutMs(MembershipState state) {
        int nodes = state.table().entries().size() + 1;
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(nodes);
        return SUSPICION_BASE_MS + SUSPICION_PER_DOUBLING_MS * doublings;
    }

    private MembershipState probeNext(MembershipState state, List<Effect> out) {
        MembershipState next = state;
        Vector<NodeId> order = next.probing().order().dropWhile(id -> !isPresent(state, id));
        if (order.isEmpty()) {
            Drawn<NodeId> drawn = next.random().shuffle(presentMembers(next).map(Member::id));
            order = drawn.items();
            next = next.with(drawn.random());
        }
        if (order.isEmpty()) {
            return next;
        }
        Member target = next.table().entries().get(order.head()).get().member();
        ProbeState probing = next.probing().withOrder(order.tail()).withProbe(target.id());
        next = next.with(probing);
        long sequence = probing.sequence();
        out.add(new Effect.Schedule(nowMs + DIRECT_PROBE_TIMEOUT_MS, new MembershipEvent.ProbeLate(sequence)));
        return messages.sendPing(next, target.id(), target.address(), sequence, out);
    }

    private static boolean isPresent(MembershipState state, NodeId id) {
        return state.table().entries().get(id).exists(e -> e.member().status() != Status.DEAD);
    }

    private static Vector<Member> presentMembers(MembershipState state) {
        return state.members().filter(m -> m.status() != Status.DEAD);
    }

    Step<MembershipState> onProbeLate(MembershipState state, long sequence) {
        Probe probe = state.probing().current().getOrNull();
        if (probe == null || probe.sequence() != sequence) {
            return Step.of(state);
        }
        Member target = state.table()
                .entries()
                .get(probe.target())
                .map(MemberTable.Entry::member)
                .getOrNull();
        if (target == null) {
            return Step.of(state);
        }
        Vector<Member> others = state.members().filter(m -> m.status() == Status.ALIVE && !m.id().equals(target.id()));
        Drawn<Member> helpers = state.random().sample(others, INDIRECT_PROBE_COUNT);
        MembershipState next = state.with(helpers.random());
        List<Effect> out = new ArrayList<>();
        for (Member helper : helpers.items()) {
            MemberTable.UpdateBatch batch = next.table().takeUpdates(helper.id(), nowMs);
            Member sender = next.table().selfMember(view.self());
            out.add(MessageHandler.createSend(
                    helper.address(), new PingRequest(sequence, target, sender, batch.updates())));
            next = next.with(batch.table());
        }
        return new Step<>(next, out);
    }

    /**
     * Syncs with absent addresses while no peer is alive. Otherwise pings an absent address every
     * {@value #ROUNDS_PER_ABSENT_PING} rounds, to heal partitions, and syncs with one present node every
     * {@value #ROUNDS_PER_SYNC} rounds.
     */
    private MembershipState reconnectOrSync(MembershipState state, List<Effect> out) {
        if (state.peers().alive().isEmpty()) {
            return sendSyncs(state, absentAddresses(state), JOIN_SYNCS_PER_ROUND, out);
        }
        if (state.probing().round() % ROUNDS_PER_ABSENT_PING == 0) {
            return pingAbsent(state, out);
        }
        if (state.probing().round() % ROUNDS_PER_SYNC == 1) {
            Vector<Address> present = presentMembers(state).map(Member::address);
            return sendSyncs(state, present, 1, out);
        }
        return state;
    }

    private MembershipState pingAbsent(MembershipState state, List<Effect> out) {
        Drawn<Address> drawn = state.random().sample(absentAddresses(state), 1);
        MembershipState next = state.with(drawn.random());
        for (Address address : drawn.items()) {
            NodeId lastKnown = state.members()
                    .find(m -> m.address().equals(address))
                    .map(Member::id)
                    .getOrElse(view.self().id());
            next = messages.sendPing(next, lastKnown, address, 0, out);
        }
        return next;
    }

    private MembershipState sendSyncs(MembershipState state, Vector<Address> addresses, int count, List<Effect> out) {
        Drawn<Address> drawn = state.random().sample(addresses, count);
        for (Address address : drawn.items()) {
            out.add(messages.createSync(state, address, true));
        }
        return state.with(drawn.random());
    }

    /** Returns seed, listed and dead nodes' addresses at which no node is known to be present. */
    private Vector<Address> absentAddresses(MembershipState state) {
        LinkedHashSet<Address> dead = LinkedHashSet.ofAll(
                state.members().filter(m -> m.status() == Status.DEAD).map(Member::address));
        return state.seeds()
                .addAll(state.listed())
                .addAll(dead)
                .removeAll(presentMembers(state).map(Member::address))
                .remove(view.self().peerAddress())
                .toVector();
    }

    Step<MembershipState> onStopRequested(MembershipState state) {
        MembershipState next = state.with(state.table().withLeaving());
        Drawn<Member> drawn = next.random().sample(presentMembers(next), LEAVE_FANOUT);
        next = next.with(drawn.random());
        List<Effect> out = new ArrayList<>();
        for (Member member : drawn.items()) {
            next = messages.sendPing(next, member.id(), member.address(), 0, out);
        }
        return new Step<>(next, out);
    }
}
