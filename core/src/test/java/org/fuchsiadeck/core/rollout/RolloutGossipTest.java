package org.fuchsiadeck.core.rollout;

import java.util.List;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against evidence reports that overload the aggregators when there are hundreds of nodes, and against new nodes
 * that receive the registry, and so start to serve callers, before they know the condemned versions.
 */
class RolloutGossipTest {
    private static final int TICKS = 24;
    private static final int AGGREGATORS = 2;

    private final RolloutReducer reducer = new RolloutReducer();

    @Test
    void reportsOnEveryTickWithFewNodes() {
        assertThat(countReports(7, Verdict.GOOD)).isEqualTo(AGGREGATORS * TICKS);
    }

    @Test
    void reportsPerAggregatorStayBoundedWithHundredsOfNodes() {
        int reports = countReports(369, Verdict.GOOD);
        assertThat(reports).isPositive();
        assertThat(reports * 370 / TICKS).isLessThanOrEqualTo(AGGREGATORS * 32);
    }

    @Test
    void reportsFailuresOnEveryTickWithHundredsOfNodes() {
        assertThat(countReports(369, Verdict.FAILED)).isEqualTo(AGGREGATORS * TICKS);
    }

    @Test
    void sendsCondemnationsBeforeRegistryToNewNode() {
        ServiceVersion v2 = new ServiceVersion("assistant", "v2");
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutRegistry.EMPTY.with(RolloutFixtures.rollout(1, RolloutStage.EARLY)), 1)
                .withKnown()
                .withCondemnations(List.of(new Condemnation(v2, 1, "bad")));
        PeerReceived digest = new PeerReceived(new NodeId("n0"), new RolloutMessage.Digest(-1, 0));
        assertThat(reducer.reduce(state, view(1), digest).effects())
                .extracting(e -> ((Effect.Send) e).message().getClass().getSimpleName())
                .containsExactly("Condemned", "Offer");
    }

    private int countReports(int peers, Verdict verdict) {
        View view = view(peers);
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutRegistry.EMPTY.with(RolloutFixtures.rollout(1, RolloutStage.EARLY)), 1)
                .withKnown();
        state = reducer.reduce(state, view, RolloutFixtures.attempt("v2", "notice", verdict, 50))
                .state();
        int count = 0;
        for (int i = 0; i < TICKS; i++) {
            var step = reducer.reduce(state, view, new RolloutEvent.Tick());
            state = step.state();
            count += (int) step.effects().stream()
                    .filter(e -> e instanceof Effect.Send send && send.message() instanceof RolloutMessage.Observed)
                    .count();
        }
        return count;
    }

    private static View view(int peers) {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        for (int i = 0; i < peers; i++) {
            NodeId id = new NodeId("n" + i);
            alive.put(id, new Peers.Peer(id, new Address("127.0.0.1", 1), new Zone("norte")));
        }
        Identity self = new Identity(new NodeId("self"), new Zone("norte"), new Address("127.0.0.1", 1), 1);
        return new View(
                self,
                0,
                RolloutFixtures.START_MS,
                Configuration.NONE,
                RolloutState.initial().shares(),
                new Peers(alive));
    }
}
