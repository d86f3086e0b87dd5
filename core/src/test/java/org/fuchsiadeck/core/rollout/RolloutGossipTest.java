package org.fuchsiadeck.core.rollout;

import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutGossipTest {
    private static final int TICKS = 24;
    private static final int AGGREGATORS = 2;

    private final RolloutReducer reducer = new RolloutReducer();

    @Test
    void reportsOnEachTickAmongFewNodes() {
        assertThat(reports(7, Verdict.GOOD)).isEqualTo(AGGREGATORS * TICKS);
    }

    @Test
    void reportsToAnAggregatorStayAsManyAmongHundredsOfNodes() {
        int reports = reports(369, Verdict.GOOD);
        assertThat(reports).isPositive();
        assertThat(reports * 370 / TICKS).isLessThanOrEqualTo(AGGREGATORS * 32);
    }

    @Test
    void reportsBadAnswersOnEachTickAmongHundredsOfNodes() {
        assertThat(reports(369, Verdict.FAILED)).isEqualTo(AGGREGATORS * TICKS);
    }

    private int reports(int peers, Verdict verdict) {
        View view = view(peers);
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutBook.EMPTY.with(Rollouts.rollout(1, Stage.EARLY)), 1)
                .withKnown();
        state = reducer.reduce(state, view, Rollouts.seen("v2", "notice", verdict, 50))
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
                Rollouts.START_MS,
                Configuration.NONE,
                RolloutState.initial().shares(),
                new Peers(alive));
    }
}
