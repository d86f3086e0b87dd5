package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.apps;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;

/** Guards against limits of backend servers that are missed, outlive their end, or are exceeded by repeated attempts. */
class ServerLimitsTest {
    private static final NodeId PEER = new NodeId("n2");

    private final Harness node = new Harness();
    private final Backend[] servers = apps(1);
    private final BackendId id = servers[0].id();
    private int requests;

    private static Optional<BackendReport> report(OptionalDouble limit) {
        return Optional.of(new BackendReport(Optional.empty(), false, 0, limit));
    }

    private void complete(String request, OptionalDouble limit) {
        node.reduce(new RequestEvent.AnswerCompleted(new RequestId(request), 1, 200, 0, 0, report(limit)));
    }

    private void nameLimit(double perSecond) {
        node.listBackends(servers);
        node.arrive("first", STATUS);
        node.startWriting("first", 1);
        complete("first", OptionalDouble.of(perSecond));
    }

    /** Sends a request every 100 ms and returns how many were placed. */
    private int placedWithin(long ms, OptionalDouble limit) {
        int placed = 0;
        for (long end = node.nowMs + ms; node.nowMs < end; ) {
            List<Effect> effects = node.arrive("q" + requests++, STATUS);
            effects.addAll(node.advance(100));
            for (RequestEffect.Dispatch dispatch : effectsOfType(effects, RequestEffect.Dispatch.class)) {
                placed++;
                node.startWriting(dispatch.id().value(), dispatch.attempt());
                complete(dispatch.id().value(), limit);
            }
        }
        return placed;
    }

    @Test
    void refusesAtOnceWhatALimitedServerCannotTakeBeforeTheDeadline() {
        nameLimit(0);
        RequestEffect.Respond response = effectsOfType(node.arrive("r", STATUS), RequestEffect.Respond.class)
                .get(0);
        assertThat(response.reason()).isEqualTo("backends_limited");
        assertThat(response.retryAfterMs()).isPositive();
    }

    @Test
    void keepsToALimitThatIsLowered() {
        nameLimit(8);
        node.advance(3_000);
        placedWithin(2_000, OptionalDouble.of(8));
        assertThat(placedWithin(4_000, OptionalDouble.of(1))).isBetween(3, 9);
        assertThat(placedWithin(4_000, OptionalDouble.of(1))).isBetween(3, 5);
    }

    @Test
    void usesALimitThatIsRaised() {
        nameLimit(1);
        node.advance(3_000);
        placedWithin(2_000, OptionalDouble.of(5));
        assertThat(placedWithin(4_000, OptionalDouble.of(5))).isBetween(18, 23);
    }

    @Test
    void endsALimitOnlyByAnAnswerToALaterRequest() {
        node.listBackends(servers);
        node.arrive("before", STATUS);
        node.startWriting("before", 1);
        node.advance(10);
        nameLimit(1);
        complete("before", OptionalDouble.empty());
        assertThat(limit()).isTrue();
        node.advance(3_000);
        placedWithin(100, OptionalDouble.empty());
        assertThat(limit()).isFalse();
    }

    @Test
    void readsALimitFromTheHeadOfAStream() {
        node.listBackends(servers);
        node.arrive("r", STATUS);
        node.startWriting("r", 1);
        node.reduce(new RequestEvent.AnswerStarted(new RequestId("r"), 1, report(OptionalDouble.of(2))));
        assertThat(limit()).isTrue();
    }

    @Test
    void asksTheHomeAndSendsOnlyWhatItGrants() {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        for (int i = 0; i < 20; i++) {
            NodeId peer = new NodeId("p" + i);
            alive.put(peer, new Peers.Peer(peer, new Address("127.0.0.1", 2 + i), new Zone("behala")));
        }
        node.peers = new Peers(alive);
        NodeId home = node.peers.firstFor(id.value(), node.view().self().id());
        assertThat(home).isNotEqualTo(node.view().self().id());
        nameLimit(1);
        List<Effect> effects = node.arrive("r1", STATUS);
        effects.addAll(node.arrive("r2", STATUS));
        assertThat(effectsOfType(effects, RequestEffect.Dispatch.class)).isEmpty();
        List<Effect.Send> queries = effectsOfType(effects, Effect.Send.class).stream()
                .filter(s -> s.message() instanceof ServerLimitMessage.Query)
                .toList();
        assertThat(queries).hasSize(1);
        assertThat(queries.get(0).to()).isEqualTo(home);
        List<Effect> granted = node.reduce(new PeerReceived(home, new ServerLimitMessage.Grant(id, 1, 0)));
        assertThat(effectsOfType(granted, RequestEffect.Dispatch.class)).hasSize(1);
    }

    @Test
    void doesNotBringAnEndedLimitBackByOlderNews() {
        node.listBackends(servers);
        node.nowMs = 10_000;
        node.reduce(new PeerReceived(PEER, new ServerLimitMessage.Changed(id, 2, true, 500)));
        node.reduce(new PeerReceived(PEER, new ServerLimitMessage.Changed(id, 2, false, 100)));
        node.reduce(new PeerReceived(PEER, new ServerLimitMessage.Changed(id, 2, true, 300)));
        assertThat(limit()).isFalse();
    }

    private boolean limit() {
        return node.state.fleet().limits().get(id).exists(l -> l.active());
    }
}
