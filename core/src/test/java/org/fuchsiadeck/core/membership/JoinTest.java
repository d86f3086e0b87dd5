package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.SimulatedNodes;
import org.fuchsiadeck.core.config.Configuration;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** All nodes start within a moment, as after a power cut, and read the platform's list. */
class JoinTest {
    private static final long SOON_MS = 400;

    @Test
    void nodesThatStartTogetherKnowEachOtherSoon() {
        SimulatedNodes fleet = new SimulatedNodes(11, Configuration.NONE);
        for (int i = 0; i < 9; i++) {
            fleet.start("z" + i % 4);
        }
        fleet.scheduleListReads(50);
        fleet.runFor(SOON_MS);
        assertThat(fleet.hasConverged()).isTrue();
    }
}
