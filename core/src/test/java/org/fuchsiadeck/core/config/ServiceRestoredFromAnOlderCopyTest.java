package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.stream.IntStream;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.NodeId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * After the service had come back from an older copy, nodes ignored new configurations, or took the older one of the copy.
 * {@link ConfigCluster} checks on every event that no node goes back to an older version.
 */
class ServiceRestoredFromAnOlderCopyTest {
    /** The shortest time in which a configuration has to be in force everywhere. */
    private static final long MAX_APPLY_MS = 2_000;

    private static final long OUTAGE_MS = 2_000;
    private static final long REWRITE_DELAY_MS = 500;
    private static final int CHANGES = 6;
    private static final int NODES = 8;

    private enum Trouble {
        NONE,
        LOST_MESSAGES,
        CUT_OFF,
        STALLED,
        RESTARTS,
        ALL_RESTARTED,
        RESTARTS_AFTER_THE_RETURN
    }

    @ParameterizedTest
    @CsvSource({
        "NONE, 8, 1",
        "NONE, 60, 2",
        "NONE, 370, 3",
        "LOST_MESSAGES, 8, 4",
        "LOST_MESSAGES, 60, 5",
        "LOST_MESSAGES, 370, 6",
        "CUT_OFF, 8, 7",
        "CUT_OFF, 60, 8",
        "CUT_OFF, 370, 9",
        "STALLED, 8, 10",
        "STALLED, 60, 11",
        "RESTARTS, 8, 12",
        "RESTARTS, 60, 13",
        "RESTARTS, 370, 14",
        "ALL_RESTARTED, 8, 15",
        "ALL_RESTARTED, 60, 16",
        "RESTARTS_AFTER_THE_RETURN, 8, 17",
        "RESTARTS_AFTER_THE_RETURN, 60, 18",
        "RESTARTS_AFTER_THE_RETURN, 370, 19"
    })
    void appliesWhatIsWrittenAfterTheReturn(Trouble trouble, int nodes, long seed) {
        ConfigCluster cluster = new ConfigCluster(seed);
        cluster.publishRevision();
        for (int i = 0; i < nodes; i++) {
            cluster.start();
        }
        cluster.runFor(5_000);
        for (int i = 0; i < CHANGES; i++) {
            cluster.publishRevision();
            cluster.runFor(1_000);
        }
        assertThat(cluster.isAppliedEverywhere()).isTrue();
        goBack(cluster, trouble, 4);
        goBack(cluster, trouble, 2);
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(MAX_APPLY_MS)).isLessThan(MAX_APPLY_MS);
    }

    @Test
    void everyNodeLogsEachReturnOnce() {
        ConfigCluster cluster = new ConfigCluster(1);
        cluster.publishRevision();
        for (int i = 0; i < NODES; i++) {
            cluster.start();
        }
        cluster.runFor(5_000);
        cluster.publishRevision();
        cluster.publishRevision();
        goBack(cluster, Trouble.NONE, 1);
        goBack(cluster, Trouble.NONE, 1);
        assertThat(cluster.logs.stream().filter(EventCode.PLATFORM_RESTORED::equals))
                .hasSize(2 * NODES);
    }

    private static void goBack(ConfigCluster cluster, Trouble trouble, int lostChanges) {
        cluster.outage = true;
        cluster.runFor(OUTAGE_MS / 2);
        cause(cluster, trouble);
        cluster.runFor(OUTAGE_MS / 2);
        cluster.restore(lostChanges);
        cluster.outage = false;
        if (trouble == Trouble.RESTARTS_AFTER_THE_RETURN) {
            restartThird(cluster);
        }
        cluster.runFor(REWRITE_DELAY_MS);
        cluster.publishAgain();
        cluster.runFor(MAX_APPLY_MS);
        cluster.cutOff.clear();
        cluster.lossPercent = 0;
        cluster.maxDelayMs = 1;
        cluster.runFor(MAX_APPLY_MS);
        assertThat(cluster.isAppliedEverywhere()).isTrue();
        cluster.publishRevision();
        assertThat(cluster.runUntilApplied(MAX_APPLY_MS)).isLessThan(MAX_APPLY_MS);
    }

    private static void cause(ConfigCluster cluster, Trouble trouble) {
        List<NodeId> ids = List.copyOf(cluster.nodes.keySet());
        List<NodeId> third = IntStream.range(0, ids.size())
                .filter(i -> i % 3 == 0)
                .mapToObj(ids::get)
                .toList();
        switch (trouble) {
            case LOST_MESSAGES -> {
                cluster.lossPercent = 40;
                cluster.maxDelayMs = 200;
            }
            case CUT_OFF -> cluster.cutOff.addAll(third);
            case STALLED -> third.forEach(id -> cluster.nodes.get(id).stalledUntilMs = cluster.nowMs + 3_000);
            case RESTARTS ->
                third.forEach(id -> {
                    cluster.stop(id);
                    cluster.start();
                });
            case ALL_RESTARTED ->
                ids.forEach(id -> {
                    cluster.stop(id);
                    cluster.start();
                });
            default -> {}
        }
    }

    private static void restartThird(ConfigCluster cluster) {
        List<NodeId> ids = List.copyOf(cluster.nodes.keySet());
        for (int i = 0; i < ids.size(); i += 3) {
            cluster.stop(ids.get(i));
            cluster.start();
        }
    }
}
