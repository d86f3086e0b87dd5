package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.MEAL;
import static org.fuchsiadeck.core.request.Harness.apps;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;

/**
 * Guards against requests sent to a backend server that another entry node already knows to be leaving, and against
 * departure messages that nodes forward to each other without end.
 */
class DepartureGossipTest {
    private static final NodeId PEER = new NodeId("n2");

    private final Harness node = new Harness();
    private final Backend[] servers = apps(2);

    @BeforeEach
    void start() {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        alive.put(PEER, new Peers.Peer(PEER, new Address("127.0.0.1", 2), new Zone("behala")));
        node.peers = new Peers(alive);
        node.listBackends(servers);
    }

    @Test
    void sendsAReclaimNoticeToPeersOnceWithTheRemainingTime() {
        BackendId id = servers[0].id();
        PlatformEvent notice = new PlatformEvent.ReclaimNoticed(id.value(), 30_000);
        assertThat(effectsOfType(node.reduce(notice), Effect.Send.class))
                .containsExactly(new Effect.Send(PEER, new LeavingBackend(id, 30_000)));
        assertThat(effectsOfType(node.reduce(notice), Effect.Send.class)).isEmpty();
    }

    @Test
    void dispatchesNothingToAServerThatAPeerReportsAsLeaving() {
        receiveFromPeer(new LeavingBackend(servers[0].id(), LeavingBackend.UNKNOWN));
        node.listBackends(servers);
        for (int i = 0; i < 20; i++) {
            assertThat(firstDispatch(node.arrive("r" + i, MEAL)).backend()).isEqualTo(servers[1]);
            node.startWriting("r" + i, 1);
            node.completeAnswer("r" + i, 1);
        }
    }

    @Test
    void forwardsAPeersReportOnce() {
        LeavingBackend departure = new LeavingBackend(servers[0].id(), LeavingBackend.UNKNOWN);
        assertThat(receiveFromPeer(departure)).hasSize(1);
        assertThat(receiveFromPeer(departure)).isEmpty();
        assertThat(receiveFromPeer(new LeavingBackend(servers[0].id(), 9_000))).hasSize(1);
        assertThat(receiveFromPeer(departure)).isEmpty();
    }

    private List<Effect.Send> receiveFromPeer(LeavingBackend departure) {
        return effectsOfType(node.reduce(new PeerReceived(PEER, departure)), Effect.Send.class);
    }
}
