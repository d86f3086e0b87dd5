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

/**
 * Guards against configurations that do not reach all nodes, or that go back to an older revision, when messages and
 * calls are lost or duplicated, the key-value service fails, or nodes are replaced. {@link ConfigCluster} checks on
 * every event that revisions never go back and that a new node does not become ready with an older revision than its
 * peers.
 */
class ConfigPropagationTest {
    private static final long MAX_PROPAGATION_MS = 5_000;
    private static final long SAMPLE_MS = 120_000;

    /** The shortest time in which a configuration has to be in force everywhere. */
    private static final long MAX_APPLY_MS = 2_000;

    private static ConfigCluster startedCluster(long seed, int nodes) {
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
    void appliesNewestRevisionEverywhereAfterFaults(@ForAll long seed) {
        ConfigCluster cluster = startedCluster(seed, 8);
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
        cluster.runFor(2 * MAX_PROPAGATION_MS);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(MAX_PROPAGATION_MS)).isLessThan(MAX_PROPAGATION_MS);
        assertThat(cluster.nodes.values())
                .allSatisfy(n -> assertThat(n.state.unready()).isEmpty());
    }

    @Property(tries = 40, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void replacedNodesGetNewestRevisionFromPeersDuringOutage(@ForAll long seed) {
        ConfigCluster cluster = startedCluster(seed, 8);
        cluster.publishRevision();
        cluster.runFor(5);
        cluster.outage = true;
        cluster.lossPercent = 20;
        long newest = 0;
        for (int i = 0; i < 12; i++) {
            cluster.stop(cluster.randomNode().self.id());
            cluster.start();
            cluster.runFor(5_000);
            long newestApplied = cluster.nodes.values().stream()
                    .mapToLong(n -> n.state.current().revision())
                    .max()
                    .orElse(0);
            assertThat(newestApplied).isGreaterThanOrEqualTo(Math.max(1, newest));
            newest = newestApplied;
        }
        long expected = newest;
        assertThat(cluster.nodes.values()).allSatisfy(n -> {
            assertThat(n.state.unready()).isEmpty();
            assertThat(n.state.current().revision()).isEqualTo(expected);
        });
    }

    @Property(tries = 20, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void appliesRevisionEverywhereWithinFiveSecondsDespiteLostMessages(@ForAll long seed) {
        ConfigCluster cluster = startedCluster(seed, 9);
        cluster.lossPercent = 30;
        cluster.runFor(10_000);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(MAX_PROPAGATION_MS)).isLessThan(MAX_PROPAGATION_MS);
    }

    /** Nodes that did not watch learned of a configuration by their next poll only, up to 45 s later. */
    @ParameterizedTest
    @CsvSource({"12, 1", "12, 2", "60, 1", "60, 2", "60, 3", "370, 1"})
    void appliesRevisionEverywhereInTimeAfterAllWatchersStopped(int nodes, long seed) {
        ConfigCluster cluster = startedCluster(seed, nodes);
        cluster.runFor(5_000);
        cluster.stopWatchersUnnoticed();
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(MAX_APPLY_MS)).isLessThan(MAX_APPLY_MS);
    }

    @ParameterizedTest
    @CsvSource({"8, 5", "370, 20"})
    void appliesRevisionEverywhereWithFewServiceCalls(int nodes, int maxCallsPerSecond) {
        ConfigCluster cluster = startedCluster(1, nodes);
        int before = cluster.platformCalls;
        cluster.runFor(SAMPLE_MS);
        assertThat((cluster.platformCalls - before) * 1_000L / SAMPLE_MS).isLessThan(maxCallsPerSecond);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(MAX_PROPAGATION_MS)).isLessThan(MAX_PROPAGATION_MS);
    }

    @Test
    void logsStartAndEndOfOutageOnce() {
        ConfigCluster cluster = startedCluster(2, 1);
        cluster.outage = true;
        cluster.runFor(60_000);
        cluster.outage = false;
        cluster.runFor(60_000);
        assertThat(cluster.logs)
                .containsExactly(
                        EventCode.CONFIG_APPLIED, EventCode.PLATFORM_UNAVAILABLE, EventCode.PLATFORM_AVAILABLE);
    }
}
