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
 * Takes in messages from peers, answers them, and builds the messages a node sends.
 */
final class Conversation {
    /** How long a probe made for another node may be answered, in milliseconds. */
    private static final long RELAY_MS = 1_000;

    private final Identity self;
    private final long nowMs;

    Conversation(View view) {
        this.self = view.self();
        this.nowMs = view.nowMs();
    }

    Step<MembershipState> received(MembershipState state, MembershipMessage message) {
        if (message.sender().id().equals(self.id())) {
            return Step.of(state);
        }
        MembershipState next = merge(state, message);
        List<Effect> out = new ArrayList<>();
        if (message instanceof Ping ping) {
            next = acknowledge(
                    next, ping.sender(), ping.sequence(), next.table().self(self), out);
        } else if (message instanceof PingRequest request) {
            next = relay(next, request, out);
        } else if (message instanceof Ack ack) {
            next = answered(next, ack, out);
        } else if (message instanceof Sync sync && sync.replyWanted()) {
            out.add(sync(next, sync.sender().address(), false));
        }
        return new Step<>(next, out);
    }

    private MembershipState merge(MembershipState state, MembershipMessage message) {
        MemberTable table = state.table().merge(self, new Update(message.sender(), 0), nowMs);
        for (Update update : message.updates()) {
            table = table.merge(self, update, nowMs);
        }
        return state.with(table);
    }

    private MembershipState acknowledge(
            MembershipState state, Member to, long sequence, Member subject, List<Effect> out) {
        MemberTable.Taken taken = state.table().take(to.id(), nowMs);
        Member sender = state.table().self(self);
        out.add(send(to.address(), new Ack(sequence, subject, sender, taken.updates())));
        return state.with(taken.table());
    }

    private MembershipState relay(MembershipState state, PingRequest request, List<Effect> out) {
        NodeId target = request.target().id();
        Probing probing = state.probing()
                .relay(new Probing.Relay(request.sender(), request.sequence(), target, nowMs + RELAY_MS));
        MembershipState next = state.with(probing);
        return ping(next, target, request.target().address(), probing.sequence(), out);
    }

    private MembershipState answered(MembershipState state, Ack ack, List<Effect> out) {
        MemberTable table = state.table().merge(self, new Update(ack.subject(), 0), nowMs);
        MembershipState next = state.with(table);
        if (next.probing().answers(ack)) {
            return next.with(next.probing().answered());
        }
        Probing.Relay relay = next.probing().relayAnswered(ack).getOrNull();
        if (relay == null) {
            return next;
        }
        next = next.with(next.probing().withoutRelay(ack.sequence()));
        return acknowledge(next, relay.origin(), relay.originSequence(), ack.subject(), out);
    }

    MembershipState ping(MembershipState state, NodeId to, Address address, long sequence, List<Effect> out) {
        MemberTable.Taken taken = state.table().take(to, nowMs);
        Member sender = state.table().self(self);
        out.add(send(address, new Ping(sequence, sender, taken.updates())));
        return state.with(taken.table());
    }

    Effect sync(MembershipState state, Address to, boolean replyWanted) {
        Member sender = state.table().self(self);
        return send(to, new Sync(replyWanted, sender, state.table().all(nowMs)));
    }

    static Effect send(Address to, MembershipMessage message) {
        return new MembershipEffect.SendTo(to, message);
    }
}
