package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.platform.PlatformEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that get no final answer, several, or one that contradicts what ran, under random sequences
 * of failures, repeated events, reclaims, disconnects and shutdowns.
 */
class RequestPropertiesTest {
    private static final int STEPS = 400;
    private static final int REQUESTS = 12;

    @Property(tries = 500, seed = "20260412")
    void everyRequestEndsOnceWithACorrectOutcome(@ForAll long seed) {
        simulate(seed);
    }

    @Property(tries = 20, seed = "20260413")
    void theSameEventsProduceTheSameEffects(@ForAll long seed) {
        assertThat(simulate(seed).effects).isEqualTo(simulate(seed).effects);
    }

    private static Harness simulate(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Harness node = new Harness();
        DataPathModel dataPath = new DataPathModel(node, random);
        listRandomBackends(node, dataPath, random);
        int arrived = 0;
        for (int i = 0; i < STEPS; i++) {
            int action = random.nextInt(60);
            if (action < 4 && arrived < REQUESTS) {
                Route route =
                        List.of(Harness.MEAL, Harness.STATUS, Harness.DRAFT).get(random.nextInt(3));
                dataPath.arrive("r" + arrived++, route);
            } else if (action == 4) {
                listRandomBackends(node, dataPath, random);
            } else if (action == 5) {
                String id = (random.nextBoolean() ? "a" : "e") + random.nextInt(4);
                dataPath.apply(node.reduce(new PlatformEvent.ReclaimNoticed(id, random.nextInt(5_000))));
            } else if (action < 20) {
                dataPath.advance(random.nextInt(100) == 0 ? 20_000 : random.nextInt(150));
            } else {
                dataPath.step();
            }
        }
        if (random.nextBoolean()) {
            dataPath.apply(node.reduce(new LifecycleEvent.StopRequested(random.nextInt(3_000))));
        }
        dataPath.deliverAll();
        dataPath.assertAllEnded();
        return node;
    }

    private static void listRandomBackends(Harness node, DataPathModel dataPath, SplittableRandom random) {
        List<Backend> backends = IntStream.range(0, 8)
                .filter(i -> random.nextInt(5) > 0)
                .mapToObj(i -> i < 4 ? Harness.app("a" + i) : Harness.engine("e" + (i - 4), "v" + random.nextInt(2)))
                .toList();
        dataPath.apply(node.reduce(new PlatformEvent.Listed(backends, List.of())));
    }
}
