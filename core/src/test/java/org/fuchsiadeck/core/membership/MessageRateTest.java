package org.fuchsiadeck.core.membership;

import java.util.Map;
import java.util.TreeMap;

import org.fuchsiadeck.core.SimulatedNodes;
import org.fuchsiadeck.core.config.Configuration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a number of membership messages per node that grows with the number of nodes. */
class MessageRateTest {
    private static final int WARM_UP_S = 60;
    private static final int MEASURED_S = 120;

    @ParameterizedTest
    @ValueSource(ints = {3, 8, 32})
    void messageRatePerNodeIsBoundedForAnyNumberOfNodes(int count) {
        SimulatedNodes simulation = new SimulatedNodes(7, Configuration.NONE);
        for (int i = 0; i < count; i++) {
            simulation.start("z" + i % 4);
        }
        simulation.runFor(WARM_UP_S * 1_000L);
        simulation.sentByKind.clear();
        simulation.runFor(MEASURED_S * 1_000L);
        Map<String, Double> rates = new TreeMap<>();
        simulation.sentByKind.forEach((kind, n) -> rates.put(kind, (double) n / count / MEASURED_S));
        System.out.printf("nodes=%d messages per node and second: %s%n", count, rates);
        assertThat(simulation.hasConverged()).isTrue();
        assertThat(rates.values().stream().mapToDouble(r -> r).sum()).isLessThan(5);
    }
}
