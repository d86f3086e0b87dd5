package org.fuchsiadeck.node;

import java.util.TreeMap;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.claim.ClaimState;
import org.fuchsiadeck.core.claim.Roster;
import org.fuchsiadeck.core.claim.RosterChain;
import org.fuchsiadeck.core.membership.MembershipState;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HandoverTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 1);
    private static final Zone ZONE = new Zone("sur");
    private static final Identity SELF = new Identity(new NodeId("n1"), ZONE, ADDRESS, 1);

    @Test
    void waitsForAPeerThatCanTakeTheClaimsOver() {
        assertThat(Node.handedOver(owner(new Peers.Peer(new NodeId("n2"), ADDRESS, ZONE))))
                .isFalse();
    }

    @Test
    void waitsForNobodyWhenNoPeerIsAlive() {
        assertThat(Node.handedOver(owner())).isTrue();
    }

    private static NodeState owner(Peers.Peer... alive) {
        NodeState state = NodeState.initial(SELF);
        Peers.Peer self = new Peers.Peer(SELF.id(), ADDRESS, ZONE);
        Roster roster = new Roster(0, io.vavr.collection.TreeMap.of(SELF.id(), self));
        ClaimState none = state.claims();
        ClaimState claims = new ClaimState(
                Option.of(new RosterChain(1, Vector.of(roster))),
                none.ledger(),
                none.asking(),
                none.contacts(),
                none.takeover(),
                none.upkeep());
        TreeMap<NodeId, Peers.Peer> peers = new TreeMap<>();
        for (Peers.Peer peer : alive) {
            peers.put(peer.id(), peer);
        }
        MembershipState m = state.members();
        MembershipState members =
                new MembershipState(m.table(), m.probing(), m.seeds(), m.listed(), m.random(), new Peers(peers));
        return new NodeState(SELF, state.config(), members, state.rollouts(), claims, state.requests());
    }
}
