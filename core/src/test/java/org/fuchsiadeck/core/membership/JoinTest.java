package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.SimulatedNodes;
import org.fuchsiadeck.core.config.Configuration;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against nodes that stay unknown to each other when all start at once, as after a power cut. They read the
 * platform's list at about the same time and have to sync with each other without waiting for probe rounds.
 */
class JoinTest {
    private static final long JOIN_TIME_MS = 400;

    @Test
    void nodesStartedTogetherFindEachOtherWithinTheJoinTime() {
        SimulatedNodes simulation = new SimulatedNodes(11, Configuration.NONE);
        for (int i = 0; i < 9; i++) {
            simulation.start("z" + i % 4);
        }
        simulation.scheduleListReads(50);
        simulation.runFor(JOIN_TIME_MS);
        assertThat(simulation.hasConverged()).isTrue();
    }
}
