package org.fuchsiadeck.core.config;

import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.fuchsiadeck.core.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Revisions never go down and a new node never starts below its peers: {@link ConfigCluster} checks it throughout. */
class ConfigPropagationTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final long SAMPLE_MS = 120_000;

    private static ConfigCluster settled(long seed, int nodes) {
        ConfigCluster cluster = new ConfigCluster(seed);
        cluster.publishRevision();
        for (int i = 0; i < nodes; i++) {
            cluster.start();
        }
        cluster.runFor(3_000);
        assertThat(cluster.isAppliedEverywhere()).isTrue();
        return cluster;
    }

    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void convergesAfterFaults(@ForAll long seed) {
        ConfigCluster cluster = settled(seed, 8);
        SplittableRandom random = new SplittableRandom(seed);
        cluster.maxDelayMs = 1 + random.nextLong(400);
        cluster.lossPercent = random.nextInt(60);
        cluster.duplicatePercent = random.nextInt(50);
        for (int i = 0; i < 60; i++) {
            switch (random.nextInt(6)) {
                case 0 -> cluster.outage = random.nextBoolean();
                case 1 -> {
                    cluster.stop(cluster.randomNode().self.id());
                    cluster.start();
                }
                case 2 -> {
                    if (!cluster.outage) {
                        cluster.publishRevision();
                    }
                }
                default -> cluster.runFor(random.nextLong(2_000));
            }
        }
        cluster.outage = false;
        cluster.lossPercent = 0;
        cluster.maxDelayMs = 1;
        cluster.runFor(2 * IN_FORCE_MS);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(IN_FORCE_MS)).isLessThan(IN_FORCE_MS);
        assertThat(cluster.nodes.values())
                .allSatisfy(n -> assertThat(n.state.unready()).isEmpty());
    }

    @Property(tries = 40, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void nodesReplacedDuringAnOutageTakeTheNewest(@ForAll long seed) {
        ConfigCluster cluster = settled(seed, 8);
        cluster.publishRevision();
        cluster.runFor(5);
        cluster.outage = true;
        cluster.lossPercent = 20;
        long newest = 0;
        for (int i = 0; i < 12; i++) {
            cluster.stop(cluster.randomNode().self.id());
            cluster.start();
            cluster.runFor(5_000);
            long held = cluster.nodes.values().stream()
                    .mapToLong(n -> n.state.current().revision())
                    .max()
                    .orElse(0);
            assertThat(held).isGreaterThanOrEqualTo(Math.max(1, newest));
            newest = held;
        }
        long expected = newest;
        assertThat(cluster.nodes.values()).allSatisfy(n -> {
            assertThat(n.state.unready()).isEmpty();
            assertThat(n.state.current().revision()).isEqualTo(expected);
        });
    }

    @Property(tries = 20, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void isInForceEverywhereSoonThoughMessagesAreLost(@ForAll long seed) {
        ConfigCluster cluster = settled(seed, 9);
        cluster.lossPercent = 30;
        cluster.runFor(10_000);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(IN_FORCE_MS)).isLessThan(IN_FORCE_MS);
    }

    @ParameterizedTest
    @CsvSource({"8, 5", "370, 20"})
    void isInForceEverywhereWithFewCallsOfTheService(int nodes, int maxCallsPerSecond) {
        ConfigCluster cluster = settled(1, nodes);
        int before = cluster.platformCalls;
        cluster.runFor(SAMPLE_MS);
        assertThat((cluster.platformCalls - before) * 1_000L / SAMPLE_MS).isLessThan(maxCallsPerSecond);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(IN_FORCE_MS)).isLessThan(IN_FORCE_MS);
    }

    @Test
    void outageIsLoggedOnceAndEndsOnce() {
        ConfigCluster cluster = settled(2, 1);
        cluster.outage = true;
        cluster.runFor(60_000);
        cluster.outage = false;
        cluster.runFor(60_000);
        assertThat(cluster.logs)
                .containsExactly(
                        EventCode.CONFIG_APPLIED, EventCode.PLATFORM_UNAVAILABLE, EventCode.PLATFORM_AVAILABLE);
    }
}
