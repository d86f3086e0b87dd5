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
import static org.fuchsiadeck.core.request.Harness.dispatch;
import static org.fuchsiadeck.core.request.Harness.of;

class DepartureNewsTest {
    private static final NodeId PEER = new NodeId("n2");

    private final Harness node = new Harness();
    private final Backend[] servers = apps(2);

    @BeforeEach
    void start() {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        alive.put(PEER, new Peers.Peer(PEER, new Address("127.0.0.1", 2), new Zone("behala")));
        node.peers = new Peers(alive);
        node.list(servers);
    }

    @Test
    void tellsPeersOnceOfANoticeWithTheTimeLeft() {
        BackendId id = servers[0].id();
        PlatformEvent notice = new PlatformEvent.ReclaimNoticed(id.value(), 30_000);
        assertThat(of(node.take(notice), Effect.Send.class))
                .containsExactly(new Effect.Send(PEER, new LeavingBackend(id, 30_000)));
        assertThat(of(node.take(notice), Effect.Send.class)).isEmpty();
    }

    @Test
    void sendsNoNewWorkToAServerThatAPeerSaysIsLeaving() {
        hears(new LeavingBackend(servers[0].id(), LeavingBackend.UNKNOWN));
        node.list(servers);
        for (int i = 0; i < 20; i++) {
            assertThat(dispatch(node.arrive("r" + i, MEAL)).backend()).isEqualTo(servers[1]);
            node.writing("r" + i, 1);
            node.completed("r" + i, 1);
        }
    }

    @Test
    void passesAPeersWordOnOnce() {
        LeavingBackend news = new LeavingBackend(servers[0].id(), LeavingBackend.UNKNOWN);
        assertThat(hears(news)).hasSize(1);
        assertThat(hears(news)).isEmpty();
        assertThat(hears(new LeavingBackend(servers[0].id(), 9_000))).hasSize(1);
        assertThat(hears(news)).isEmpty();
    }

    private List<Effect.Send> hears(LeavingBackend news) {
        return of(node.take(new PeerReceived(PEER, news)), Effect.Send.class);
    }
}
