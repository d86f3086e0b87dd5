package org.fuchsiadeck.core.duty;

import java.util.OptionalDouble;
import java.util.Random;

import org.fuchsiadeck.core.model.EngineTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DemandTest {
    private static final int SLOTS = 48;

    private static double needed(double perS, double requestMs, int inProgress, int servers) {
        return new Demand(perS, OptionalDouble.of(requestMs), inProgress, SLOTS, servers).serversNeeded();
    }

    /** Long answers hold many slots and cost little work: counted in attempts they would ask for several times as many. */
    @Test
    void longAnswersNeedNoMoreServersThanTheirWork() {
        double perS = 70;
        double requestMs = EngineTime.ofRequestMs(2_000, 250);
        int inProgress = (int) (perS * 1.1);
        assertThat(needed(perS, requestMs, inProgress, 12)).isBetween(5.0, 8.0);
    }

    /** Teams press from the first second on, before a mean of their requests is known. */
    @Test
    void usesAttemptsInProgressUntilRequestTimeIsKnown() {
        assertThat(new Demand(20, OptionalDouble.empty(), 40, SLOTS, 6).serversNeeded())
                .isEqualTo(40.0 / Demand.ATTEMPTS_PER_SERVER);
        assertThat(new Demand(20, OptionalDouble.empty(), 400, SLOTS, 6).serversNeeded())
                .isEqualTo(12);
    }

    /** All servers are gone: nothing is in progress, and callers ask as before. */
    @Test
    void isUnchangedWhenAllServersAreLost() {
        double before = needed(70, 40, 80, 8);
        assertThat(needed(70, 40, 0, 0)).isCloseTo(before, within(0.01));
    }

    @Test
    void occupiedSlotsIncreaseServersNeeded() {
        assertThat(needed(10, 10, 4 * SLOTS, 4)).isGreaterThan(5);
    }

    /** What waits for missing servers does not ask for many times as many. */
    @Test
    void limitsGrowthToSlotsOfExistingServers() {
        assertThat(needed(10, 10, 100 * SLOTS, 4)).isLessThan(6);
    }

    /** A virtual engine per server reads prompts one after the other; arrivals are random, sizes spread by orders. */
    @Test
    void keepsMostFirstTokensWithinTarget() {
        Random random = new Random(11);
        double perS = 70;
        double meanMs = 40;
        int servers = (int) Math.ceil(needed(perS, meanMs, 0, 4));
        double[] freeAtMs = new double[servers];
        double nowMs = 0;
        int late = 0;
        int count = 20_000;
        for (int i = 0; i < count; i++) {
            nowMs += -Math.log(1 - random.nextDouble()) * 1_000 / perS;
            double takesMs = meanMs / 2.5 * Math.exp(1.35 * random.nextGaussian());
            int least = 0;
            for (int s = 1; s < servers; s++) {
                least = freeAtMs[s] < freeAtMs[least] ? s : least;
            }
            double beginsMs = Math.max(nowMs, freeAtMs[least]);
            freeAtMs[least] = beginsMs + takesMs;
            late += beginsMs + takesMs - nowMs > 500 ? 1 : 0;
        }
        assertThat((double) late / count).isLessThan(0.02);
    }
}
