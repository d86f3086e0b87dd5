package org.fuchsiadeck.cli.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.fuchsiadeck.cli.FakeStore;
import org.fuchsiadeck.cli.FakeStore.Fault;
import org.fuchsiadeck.node.config.ConfigStore;
import org.fuchsiadeck.node.config.Envelope;
import org.fuchsiadeck.node.config.Outcome;
import org.fuchsiadeck.node.config.Proposal;
import org.fuchsiadeck.node.config.Timing;

import static org.assertj.core.api.Assertions.assertThat;

/** Two operators race each other over a service that loses and delays calls. */
class AcceptanceTest {
    private static final int CHANGES = 40;
    private static final long PATIENCE_MS = 3_000;

    private final Map<String, Outcome> outcomes = new HashMap<>();
    private FakeStore store;
    private SplittableRandom random;
    private long nowMs;
    private int proposals;

    @Property(tries = 100, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void tellsEachOperatorTheTruth(@ForAll long seed) {
        start(seed);
        for (int i = 0; i < CHANGES; i++) {
            apply(true);
        }
        store.runDelayed();
        assertThat(ids()).doesNotHaveDuplicates();
        outcomes.forEach((id, outcome) -> {
            if (outcome instanceof Outcome.Done) {
                assertThat(ids()).contains(id);
            } else if (!(outcome instanceof Outcome.Unknown)) {
                assertThat(ids()).doesNotContain(id);
            }
        });
    }

    @Property(tries = 50, seed = "20261208", shrinking = ShrinkingMode.OFF)
    void historyIsWhatWasAccepted(@ForAll long seed) {
        start(seed);
        for (int i = 0; i < CHANGES; i++) {
            apply(true);
        }
        store.runDelayed();
        store.afterwards = Fault.NONE;
        store.reads.clear();
        ConfigStore reader = new ConfigStore(store, timing(), PATIENCE_MS);
        List<Envelope.Change> changes = reader.current().get().orElseThrow().changes();
        assertThat(changes).hasSize(store.accepted.size());
        for (int i = 0; i < changes.size(); i++) {
            String value = store.accepted.get(store.accepted.size() - 1 - i);
            Envelope kept =
                    reader.at(changes.get(i).revision()).get().orElseThrow().envelope();
            assertThat(kept).isEqualTo(Envelope.parse(value).get());
            assertThat(kept.writeId()).isEqualTo(changes.get(i).writeId());
        }
    }

    private void start(long seed) {
        outcomes.clear();
        store = new FakeStore();
        random = new SplittableRandom(seed);
        proposals = 0;
    }

    private Timing timing() {
        return new Timing(() -> nowMs, () -> nowMs, ms -> nowMs += ms);
    }

    private List<String> ids() {
        return store.accepted.stream()
                .map(v -> Envelope.parse(v).get().writeId())
                .toList();
    }

    private Fault fault() {
        return random.nextInt(100) < 50 ? Fault.NONE : Fault.values()[random.nextInt(Fault.values().length)];
    }

    private void apply(boolean raced) {
        store.writes.clear();
        store.reads.clear();
        store.afterwards = random.nextInt(8) == 0 ? Fault.LOST_REQUEST : Fault.NONE;
        for (int i = 0; i < 4; i++) {
            store.writes.add(fault());
            store.reads.add(i == 0 ? Fault.NONE : fault());
        }
        if (raced && random.nextBoolean()) {
            store.beforeWrite = () -> apply(false);
        }
        long base = store.entries.containsKey("config/current")
                ? store.entries.get("config/current").revision()
                : 0;
        String id = "write-" + proposals++;
        String text = "[defaults]\nweight = " + proposals + "\n";
        Outcome outcome = new ConfigStore(store, timing(), PATIENCE_MS)
                .apply(new Proposal(text, raced ? "asha" : "bimal", "why", base, id));
        outcomes.put(id, outcome);
    }
}
