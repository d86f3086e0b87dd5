package org.fuchsiadeck.core.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a concurrency limit that does not follow load: one that grows while unused or beyond its maximum,
 * stays high when latency rises, or collapses because each refusal of a single overload is counted.
 */
class ConcurrencyLimitTest {
    @Test
    void growsToMaximumWhileInUse() {
        ConcurrencyLimit limit = ConcurrencyLimit.start(4, 8);
        for (int i = 0; i < 100; i++) {
            limit = limit.withAnswer(i, 10, limit.maxInFlight(8), 8);
        }
        assertThat(limit.maxInFlight(8)).isEqualTo(8);
    }

    @Test
    void doesNotGrowWhileIdle() {
        ConcurrencyLimit limit = ConcurrencyLimit.start(4, 8);
        for (int i = 0; i < 100; i++) {
            limit = limit.withAnswer(i, 10, 1, 8);
        }
        assertThat(limit.maxInFlight(8)).isEqualTo(4);
    }

    @Test
    void shrinksWhenLatencyRises() {
        ConcurrencyLimit limit = ConcurrencyLimit.start(16, 32);
        for (int i = 0; i < 50; i++) {
            limit = limit.withAnswer(i * 100, 10, 1, 32);
        }
        for (int i = 50; i < 80; i++) {
            limit = limit.withAnswer(i * 100, 500, 16, 32);
        }
        assertThat(limit.maxInFlight(32)).isLessThan(8).isPositive();
    }

    @Test
    void decreasesOnceForABurstOfRefusals() {
        ConcurrencyLimit limit = ConcurrencyLimit.start(10, 32);
        for (int i = 0; i < 20; i++) {
            limit = limit.withOverload(i);
        }
        assertThat(limit.maxInFlight(32)).isEqualTo(8);
    }
}
