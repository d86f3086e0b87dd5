package org.fuchsiadeck.core.duty;

import java.util.OptionalDouble;
import java.util.Random;

import org.fuchsiadeck.core.model.EngineTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against estimates that order several times the servers needed, such as when long answers occupy many slots,
 * and against estimates that fall when servers are missing.
 */
class DemandTest {
    private static final int SLOTS = 48;

    private static double needed(double perS, double requestMs, int inProgress, int servers) {
        return new Demand(perS, OptionalDouble.of(requestMs), inProgress, SLOTS, servers).serversNeeded();
    }

    /** An estimate from attempts would be several times too high: long answers occupy many slots at little work. */
    @Test
    void longAnswersNeedNoMoreServersThanTheirWork() {
        double perS = 70;
        double requestMs = EngineTime.estimateRequestMs(2_000, 250);
        int inProgress = (int) (perS * 1.1);
        assertThat(needed(perS, requestMs, inProgress, 12)).isBetween(5.0, 8.0);
    }

    /** Load may be high from the first second on, before the mean time per request is known. */
    @Test
    void usesAttemptsInProgressUntilRequestTimeIsKnown() {
        assertThat(new Demand(20, OptionalDouble.empty(), 40, SLOTS, 6).serversNeeded())
                .isEqualTo(40.0 / Demand.ATTEMPTS_PER_SERVER);
        assertThat(new Demand(20, OptionalDouble.empty(), 400, SLOTS, 6).serversNeeded())
                .isEqualTo(12);
    }

    /** Without servers no attempt is in progress, while callers send requests as before. */
    @Test
    void isUnchangedWhenAllServersAreLost() {
        double before = needed(70, 40, 80, 8);
        assertThat(needed(70, 40, 0, 0)).isCloseTo(before, within(0.01));
    }

    /** Twice as many servers of half the speed do the same work. */
    @Test
    void slowServersCountLess() {
        Demand usual = new Demand(70, OptionalDouble.of(40), 20, SLOTS, 8, 1);
        Demand slow = new Demand(70, OptionalDouble.of(40), 20, SLOTS, 8, 0.5);
        assertThat(slow.serversNeeded()).isCloseTo(2 * usual.serversNeeded(), within(1e-9));
    }

    @Test
    void occupiedSlotsIncreaseServersNeeded() {
        assertThat(needed(10, 10, 4 * SLOTS, 4)).isGreaterThan(5);
    }

    /** Attempts beyond the slots, which accumulate while servers are missing, do not multiply the number of servers. */
    @Test
    void limitsGrowthToSlotsOfExistingServers() {
        assertThat(needed(10, 10, 100 * SLOTS, 4)).isLessThan(6);
    }

    /** Simulates servers that process prompts one after the other, with random arrivals and widely spread sizes. */
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
            int earliest = 0;
            for (int s = 1; s < servers; s++) {
                earliest = freeAtMs[s] < freeAtMs[earliest] ? s : earliest;
            }
            double beginsMs = Math.max(nowMs, freeAtMs[earliest]);
            freeAtMs[earliest] = beginsMs + takesMs;
            late += beginsMs + takesMs - nowMs > 500 ? 1 : 0;
        }
        assertThat((double) late / count).isLessThan(0.02);
    }
}
