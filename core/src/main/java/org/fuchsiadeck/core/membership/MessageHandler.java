package org.fuchsiadeck.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipMessage.Ack;
import org.fuchsiadeck.core.membership.MembershipMessage.Ping;
import org.fuchsiadeck.core.membership.MembershipMessage.PingRequest;
import org.fuchsiadeck.core.membership.MembershipMessage.Sync;
import org.fuchsiadeck.core.membership.MembershipMessage.Update;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;

/**
 * Handles membership messages from peers and builds the membership messages that a node sends.
 */
final class MessageHandler {
    /** How long a node waits for the answer to a probe that it sends for another node, in milliseconds. */
    private static final long RELAY_TIMEOUT_MS = 1_000;

    private final Identity self;
    private final long nowMs;

    MessageHandler(View view) {
        this.self = view.self();
        this.nowMs = view.nowMs();
    }

    Step<MembershipState> onMessage(MembershipState state, MembershipMessage message) {
        if (message.sender().id().equals(self.id())) {
            return Step.of(state);
        }
        MembershipState next = mergeUpdates(state, message);
        List<Effect> out = new ArrayList<>();
        if (message instanceof Ping ping) {
            next = sendAck(next, ping.sender(), ping.sequence(), next.table().selfMember(self), out);
        } else if (message instanceof PingRequest request) {
            next = relayProbe(next, request, out);
        } else if (message instanceof Ack ack) {
            next = onAck(next, ack, out);
        } else if (message instanceof Sync sync && sync.replyWanted()) {
            out.add(createSync(next, sync.sender().address(), false));
        }
        return new Step<>(next, out);
    }

    private MembershipState mergeUpdates(MembershipState state, MembershipMessage message) {
        MemberTable table = state.table().merge(self, new Update(message.sender(), 0), nowMs);
        for (Update update : message.updates()) {
            table = table.merge(self, update, nowMs);
        }
        return state.with(table);
    }

    private MembershipState sendAck(MembershipState state, Member to, long sequence, Member subject, List<Effect> out) {
        MemberTable.UpdateBatch batch = state.table().takeUpdates(to.id(), nowMs);
        Member sender = state.table().selfMember(self);
        out.add(createSend(to.address(), new Ack(sequence, subject, sender, batch.updates())));
        return state.with(batch.table());
    }

    private MembershipState relayProbe(MembershipState state, PingRequest request, List<Effect> out) {
        NodeId target = request.target().id();
        ProbeState probing = state.probing()
                .withRelay(
                        new ProbeState.Relay(request.sender(), request.sequence(), target, nowMs + RELAY_TIMEOUT_MS));
        MembershipState next = state.with(probing);
        return sendPing(next, target, request.target().address(), probing.sequence(), out);
    }

    private MembershipState onAck(MembershipState state, Ack ack, List<Effect> out) {
        MemberTable table = state.table().merge(self, new Update(ack.subject(), 0), nowMs);
        MembershipState next = state.with(table);
        if (next.probing().isAnsweredBy(ack)) {
            return next.with(next.probing().withoutProbe());
        }
        ProbeState.Relay relay = next.probing().findRelay(ack).getOrNull();
        if (relay == null) {
            return next;
        }
        next = next.with(next.probing().withoutRelay(ack.sequence()));
        return sendAck(next, relay.origin(), relay.originSequence(), ack.subject(), out);
    }

    MembershipState sendPing(MembershipState state, NodeId to, Address address, long sequence, List<Effect> out) {
        MemberTable.UpdateBatch batch = state.table().takeUpdates(to, nowMs);
        Member sender = state.table().selfMember(self);
        out.add(createSend(address, new Ping(sequence, sender, batch.updates())));
        return state.with(batch.table());
    }

    Effect createSync(MembershipState state, Address to, boolean replyWanted) {
        Member sender = state.table().selfMember(self);
        return createSend(to, new Sync(replyWanted, sender, state.table().allUpdates(nowMs)));
    }

    static Effect createSend(Address to, MembershipMessage message) {
        return new MembershipEffect.SendTo(to, message);
    }
}
