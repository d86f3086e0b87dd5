package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.RegistryFormat;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutEvent;
import org.fuchsiadeck.core.rollout.RolloutMessage;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.core.rollout.RolloutStage;

/**
 * What the evidence of a rollout costs a node that merges it.
 */
final class RolloutCosts {
    private static final List<Integer> PEERS = List.of(3, 8, 32, 370);
    private static final int ROUTES = 4;
    private static final int MOST = 2_000;
    private static final int MOST_ROUNDS = 64;
    private static final int ROUND_MS = 500;
    private static final long HOUR_MS = 3_600_000;
    private static final long STARTED_MS = 1_796_000_000_000L;
    private static final long NUMBER = 3;

    private RolloutCosts() {}

    static List<Point> all() {
        List<Point> out = new ArrayList<>();
        for (int peers : PEERS) {
            out.addAll(Meter.cost("rollout.round", "peers' evidence", peers, MOST_ROUNDS, () -> rounds(peers)));
            out.addAll(Meter.cost("rollout.observed", "peers' evidence", peers, MOST, () -> observed(peers)));
        }
        return out;
    }

    private static Meter.Work rounds(int peers) {
        ModelNode node = merging(peers, ROUTES);
        return i -> {
            node.advance(ROUND_MS);
            node.take(new RolloutEvent.Tick());
        };
    }

    private static Meter.Work observed(int peers) {
        ModelNode node = merging(peers, ROUTES);
        Evidence seen = Samples.evidence(ROUTES);
        return i -> node.receive(1 + i % peers, message(seen));
    }

    /** Makes a node that holds the evidence of so many peers. */
    static ModelNode merging(int peers, int routes) {
        ModelNode node = new ModelNode(peers);
        node.receive(1, new RolloutMessage.Offer(NUMBER, RegistryFormat.serialize(book(1))));
        for (int i = 1; i <= peers; i++) {
            node.receive(i, WireSizes.copy(message(Samples.evidence(routes))));
        }
        return node;
    }

    static RolloutMessage.Observed message(Evidence seen) {
        return new RolloutMessage.Observed(Samples.ENGINE_SERVICE, NUMBER, seen, seen);
    }

    /** Makes a book of so many running rollouts. */
    static RolloutRegistry book(int rollouts) {
        RolloutRegistry book = RolloutRegistry.EMPTY;
        for (int i = 0; i < rollouts; i++) {
            String service = i == 0 ? Samples.ENGINE_SERVICE : "service-" + i;
            Rollout.Move move = new Rollout.Move(STARTED_MS, RolloutStage.EARLY, "started");
            book = book.with(new Rollout(
                    service,
                    NUMBER,
                    "v1",
                    "v2",
                    5,
                    STARTED_MS,
                    STARTED_MS + HOUR_MS,
                    Rollout.InsufficientEvidencePolicy.TAKE_BACK,
                    RolloutStage.EARLY,
                    List.of(move)));
        }
        return book;
    }
}
