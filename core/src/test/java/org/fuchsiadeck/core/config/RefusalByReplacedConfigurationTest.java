package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.fuchsiadeck.core.model.NodeId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests to a new route were answered 404 by nodes that did not hear of it, or had no processor time to handle it.
 */
class RefusalByReplacedConfigurationTest {
    /** The shortest time in which a configuration has to be in force everywhere. */
    private static final long MAX_APPLY_MS = 2_000;

    private static final long REQUEST_INTERVAL_MS = 25;
    private static final long CHANGE_INTERVAL_MS = 2_500;
    private static final int ROUNDS = 4;
    private static final int RUNS = 5;
    private static final int MANY_NODES = 100;
    private static final long SEED_STEP = 1_000;
    private static final long REQUESTED_MS = 10_000;
    private static final long MAX_CALM_WAIT_MS = 50;
    private static final long MAX_OUTAGE_WAIT_MS = 750;

    private enum Trouble {
        NONE,
        SILENT_WATCHES,
        LOST_MESSAGES,
        NO_PROCESSOR_TIME,
        TURNED_AWAY,
        CUT_OFF,
        RESTARTS,
        OUTAGE
    }

    @ParameterizedTest
    @CsvSource({
        "NONE, 8, 1",
        "NONE, 370, 1",
        "SILENT_WATCHES, 8, 1",
        "SILENT_WATCHES, 60, 2",
        "SILENT_WATCHES, 370, 3",
        "LOST_MESSAGES, 8, 4",
        "LOST_MESSAGES, 60, 5",
        "NO_PROCESSOR_TIME, 8, 6",
        "NO_PROCESSOR_TIME, 60, 7",
        "NO_PROCESSOR_TIME, 370, 8",
        "TURNED_AWAY, 8, 9",
        "TURNED_AWAY, 60, 10",
        "CUT_OFF, 8, 11",
        "CUT_OFF, 60, 12",
        "CUT_OFF, 370, 13",
        "RESTARTS, 8, 14",
        "RESTARTS, 60, 15",
        "OUTAGE, 8, 16",
        "OUTAGE, 60, 17"
    })
    void refusesNothingByAConfigurationThatWasReplacedLongBefore(Trouble trouble, int nodes, long seed) {
        int runs = nodes > MANY_NODES ? 1 : RUNS;
        for (long run = 0; run < runs; run++) {
            assertRefusalsAreRecent(trouble, nodes, seed + SEED_STEP * run);
        }
    }

    private static void assertRefusalsAreRecent(Trouble trouble, int nodes, long seed) {
        ConfigCluster cluster = startedCluster(seed, nodes);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < ROUNDS; round++) {
            cause(cluster, trouble, random);
            if (!cluster.outage) {
                cluster.publishRevision();
            }
            for (long ms = 0; ms < CHANGE_INTERVAL_MS; ms += REQUEST_INTERVAL_MS) {
                cluster.request(cluster.randomNode().self.id());
                cluster.runFor(REQUEST_INTERVAL_MS);
            }
        }
        assertThat(cluster.decisions).hasSizeGreaterThan(100);
        assertThat(cluster.decisions.stream().filter(ConfigCluster.Decision::refused))
                .allSatisfy(d -> assertThat(d.replacedMs()).isLessThanOrEqualTo(MAX_APPLY_MS));
    }

    @ParameterizedTest
    @CsvSource({"8, 1", "60, 2", "370, 3"})
    void refusesSoonAndWithOneCallForEachZoneAndSecondWithoutTrouble(int nodes, long seed) {
        ConfigCluster cluster = startedCluster(seed, nodes);
        int before = cluster.platformCalls;
        cluster.runFor(REQUESTED_MS);
        int atRest = cluster.platformCalls - before;
        for (long ms = 0; ms < REQUESTED_MS; ms++) {
            cluster.request(cluster.randomNode().self.id());
            cluster.runFor(1);
        }
        assertThat(cluster.decisions).allSatisfy(d -> {
            assertThat(d.refused()).isTrue();
            assertThat(d.decidedMs() - d.arrivedMs()).isLessThanOrEqualTo(MAX_CALM_WAIT_MS);
        });
        int checks = cluster.platformCalls - before - 2 * atRest;
        assertThat(checks).isLessThanOrEqualTo((int)
                (ConfigCluster.ZONE_COUNT * (REQUESTED_MS / CurrencyChecks.MAX_ANSWER_AGE_MS + 1)));
    }

    @Test
    void holdsRequestsForOneCheckOnlyDuringAnOutage() {
        ConfigCluster cluster = startedCluster(1, 8);
        cluster.outage = true;
        cluster.runFor(REQUESTED_MS);
        NodeId id = cluster.randomNode().self.id();
        for (long ms = 0; ms < REQUESTED_MS; ms += REQUEST_INTERVAL_MS) {
            cluster.request(id);
            cluster.runFor(REQUEST_INTERVAL_MS);
        }
        cluster.runFor(CHANGE_INTERVAL_MS);
        assertThat(cluster.decisions).allSatisfy(d -> {
            assertThat(d.refused()).isFalse();
            assertThat(d.decidedMs() - d.arrivedMs()).isLessThanOrEqualTo(MAX_OUTAGE_WAIT_MS);
        });
        assertThat(cluster.decisions).anySatisfy(d -> assertThat(d.decidedMs()).isEqualTo(d.arrivedMs()));
    }

    private static ConfigCluster startedCluster(long seed, int nodes) {
        ConfigCluster cluster = new ConfigCluster(seed);
        cluster.publishRevision();
        for (int i = 0; i < nodes; i++) {
            cluster.start();
        }
        cluster.runFor(5_000);
        assertThat(cluster.isAppliedEverywhere()).isTrue();
        return cluster;
    }

    private static void cause(ConfigCluster cluster, Trouble trouble, SplittableRandom random) {
        List<NodeId> ids = List.copyOf(cluster.nodes.keySet());
        List<NodeId> third = IntStream.range(0, ids.size())
                .filter(i -> i % 3 == 0)
                .mapToObj(ids::get)
                .toList();
        switch (trouble) {
            case SILENT_WATCHES -> {
                cluster.silentWatches = true;
                cluster.lossPercent = 40;
            }
            case LOST_MESSAGES -> {
                cluster.lossPercent = 60;
                cluster.maxDelayMs = 400;
            }
            case NO_PROCESSOR_TIME ->
                third.forEach(
                        id -> cluster.nodes.get(id).stalledUntilMs = cluster.nowMs + 1_000 + random.nextLong(6_000));
            case TURNED_AWAY -> cluster.turnedAway.addAll(third);
            case CUT_OFF -> cluster.cutOff.addAll(third);
            case RESTARTS -> {
                cluster.lossPercent = 30;
                third.forEach(id -> {
                    cluster.stop(id);
                    cluster.start();
                });
            }
            case OUTAGE -> cluster.outage = !cluster.outage;
            default -> {}
        }
    }
}
