package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.ConfigMessage;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.membership.MembershipEffect;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.membership.MembershipMessage;
import org.fuchsiadeck.core.membership.MembershipMessage.Ping;
import org.fuchsiadeck.core.membership.MembershipMessage.Update;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.config.ConfigReading;

/**
 * What the rounds and messages of the membership and of the configuration cost.
 */
final class PeerCosts {
    private static final List<Integer> MEMBERS = List.of(8, 32, 128, 370);
    private static final List<Integer> VALUE_KB = List.of(1, 16, 128, 900);
    private static final int MOST = 4_000;
    private static final int MOST_PARSES = 64;
    private static final int PAUSE_MS = 1_000;
    private static final int TICK_MS = 250;
    private static final int KB = 1_024;
    private static final String PER_MEMBER = "members";

    private PeerCosts() {}

    static List<Point> all() {
        List<Point> out = new ArrayList<>();
        for (int members : MEMBERS) {
            out.addAll(Meter.cost("membership.round", PER_MEMBER, members, MOST, () -> rounds(members)));
            out.addAll(Meter.cost("membership.ping", PER_MEMBER, members, MOST, () -> pings(members, false)));
            out.addAll(Meter.cost("membership.change", PER_MEMBER, members, MOST, () -> pings(members, true)));
            out.addAll(Meter.cost("config.round", PER_MEMBER, members, MOST, () -> configRounds(members)));
            out.addAll(Meter.cost("config.announce", PER_MEMBER, members, MOST, () -> announces(members)));
        }
        for (int kb : VALUE_KB) {
            String value = ConfigValues.value(kb * KB);
            out.addAll(Meter.cost("config.offer", "KB of value", kb, MOST, () -> offers(value)));
            out.addAll(Meter.cost("config.parse", "KB of value", kb, MOST_PARSES, () -> parses(value)));
        }
        return out;
    }

    /** A round, and the answer to its probe, so that nobody is suspected. */
    private static Meter.Work rounds(int members) {
        ModelNode node = new ModelNode(members - 1);
        Map<Address, Member> byAddress = new HashMap<>();
        node.state().members().members().forEach(m -> byAddress.put(m.address(), m));
        return i -> {
            node.advance(PAUSE_MS);
            List<Effect> effects = node.take(new MembershipEvent.Ticked(node.nowMs()));
            for (MembershipEffect.SendTo send : ModelNode.of(effects, MembershipEffect.SendTo.class)) {
                if (send.message() instanceof Ping ping) {
                    Member target = byAddress.get(send.to());
                    node.receive(target.id(), new MembershipMessage.Ack(ping.sequence(), target, target, List.of()));
                }
            }
        };
    }

    private static Meter.Work pings(int members, boolean changed) {
        ModelNode node = new ModelNode(members - 1);
        Member sender = Samples.member(1, 0, Member.Status.ALIVE);
        return i -> {
            node.advance(1);
            Member news = Samples.member(2, 1 + i / 2, i % 2 == 0 ? Member.Status.SUSPECT : Member.Status.LEAVING);
            List<Update> updates = changed ? List.of(new Update(news, 0)) : List.of();
            node.receive(1, new Ping(i, sender, updates));
        };
    }

    private static Meter.Work configRounds(int members) {
        ModelNode node = new ModelNode(members - 1);
        return i -> {
            node.advance(TICK_MS);
            node.take(new ConfigEvent.Tick());
        };
    }

    private static Meter.Work announces(int members) {
        ModelNode node = new ModelNode(members - 1);
        return i -> node.receive(1, new ConfigMessage.Announce(1));
    }

    private static Meter.Work offers(String value) {
        ModelNode node = new ModelNode(1);
        return i -> node.receive(1, new ConfigMessage.Offer(2 + i, value));
    }

    private static Meter.Work parses(String value) {
        return i -> {
            if (ConfigReading.read(value, 1 + i).isLeft()) {
                throw new IllegalStateException("a configuration could not be read");
            }
        };
    }
}
