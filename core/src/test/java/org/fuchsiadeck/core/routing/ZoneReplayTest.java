package org.fuchsiadeck.core.routing;

import java.util.Arrays;
import java.util.stream.IntStream;

import org.fuchsiadeck.core.routing.ZoneReplay.Engines;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against traffic between zones that saves no wait, against a zone that is left short beside idle servers of
 * others, and against nodes that all move at once. One zone gets 2 times what its servers can take for 12 s.
 */
class ZoneReplayTest {
    private static final long BURST_MS = 8_000;
    private static final long END_MS = 20_000;
    private static final long STOP_MS = 32_000;
    /** Time that nodes may take to see a change of demand and act: two ages of the oldest sums. */
    private static final long REACTION_MS = 4_000;

    private static final double REST = 0.5;
    private static final double BURST = 2;
    /** What an even distribution over four zones sends elsewhere. */
    private static final double EVEN = 0.75;

    private static ZoneReplay atRest(int nodes, int servers, boolean spilling) {
        return atRest(Engines.SCARCE, nodes, servers, spilling);
    }

    private static ZoneReplay atRest(Engines engines, int nodes, int servers, boolean spilling) {
        ZoneReplay replay = new ZoneReplay(engines, nodes, servers, spilling);
        replay.run(0, BURST_MS, REST, REST, REST, REST);
        return replay;
    }

    private static void burst(ZoneReplay replay, long fromMs, long toMs) {
        replay.run(fromMs, toMs, BURST, REST, REST, REST);
    }

    private static ZoneReplay movingDemand(Engines engines, int nodes, int servers, boolean spilling) {
        ZoneReplay replay = atRest(engines, nodes, servers, spilling);
        burst(replay, BURST_MS, END_MS);
        replay.run(END_MS, STOP_MS, REST, REST, REST, REST);
        return replay;
    }

    @ParameterizedTest
    @CsvSource({"8, 16", "60, 64", "370, 96"})
    void followsDemandThatMovesBetweenZones(int nodes, int servers) {
        check(Engines.SCARCE, nodes, servers);
    }

    /** The number of nodes and engines of both target workloads, with the engines of each. */
    @ParameterizedTest
    @CsvSource({"true, 80, 98", "false, 59, 63"})
    void followsDemandOnTheTargetDeployments(boolean scarce, int nodes, int servers) {
        check(scarce ? Engines.SCARCE : Engines.UNEVEN, nodes, servers);
    }

    private static void check(Engines engines, int nodes, int servers) {
        ZoneReplay constant = movingDemand(engines, nodes, servers, false);
        ZoneReplay spilling = movingDemand(engines, nodes, servers, true);
        report(nodes, constant, spilling);
        for (long[] rest : new long[][] {{REACTION_MS, BURST_MS}, {END_MS + 2 * REACTION_MS, STOP_MS}}) {
            assertThat(spilling.left(rest[0], rest[1], -1))
                    .as("share that leaves at rest")
                    .isLessThan(constant.left(rest[0], rest[1], -1) / 5);
            assertThat(spilling.firstMs(rest[0], rest[1], -1, 0.95))
                    .as("time to first token at rest")
                    .isLessThan(constant.firstMs(rest[0], rest[1], -1, 0.95) + engines.requestMs());
        }
        long from = BURST_MS + REACTION_MS;
        assertThat(spilling.left(from, END_MS, 0))
                .as("share that leaves the short zone")
                .isLessThan(EVEN);
        assertThat(spilling.firstMs(from, END_MS, 0, 0.5))
                .as("time to first token in the short zone against the others")
                .isLessThan(spilling.firstMs(from, END_MS, 1, 0.5) + engines.requestMs());
        assertThat(spilling.firstMs(from, END_MS, 0, 0.5))
                .as("time to first token in the short zone against the constant cost")
                .isLessThan(constant.firstMs(from, END_MS, 0, 0.5) + engines.requestMs());
        assertThat(swing(spilling, from, END_MS))
                .as("oscillation of the fraction")
                .isLessThan(EVEN / 2);
        assertThat(mostChanges(spilling, nodes)).as("starts and ends by node").isLessThanOrEqualTo(4);
    }

    /** Prints the figures that the design note gives. */
    private static void report(int nodes, ZoneReplay constant, ZoneReplay spilling) {
        for (ZoneReplay replay : new ZoneReplay[] {constant, spilling}) {
            System.out.printf(
                    "%d nodes, %s: rest left %.2f p50 %.0f p95 %.0f; first 4 s left %.2f p50 %.0f p95 %.0f; then left %.2f"
                            + " p50 %.0f p95 %.0f, zone 1 p50 %.0f p95 %.0f; swing %.2f changes %d; reread %d k%n",
                    nodes,
                    replay == constant ? "constant" : "spilling",
                    replay.left(REACTION_MS, BURST_MS, -1),
                    replay.firstMs(REACTION_MS, BURST_MS, -1, 0.5),
                    replay.firstMs(REACTION_MS, BURST_MS, -1, 0.95),
                    replay.left(BURST_MS, BURST_MS + REACTION_MS, 0),
                    replay.firstMs(BURST_MS, BURST_MS + REACTION_MS, 0, 0.5),
                    replay.firstMs(BURST_MS, BURST_MS + REACTION_MS, 0, 0.95),
                    replay.left(BURST_MS + REACTION_MS, END_MS, 0),
                    replay.firstMs(BURST_MS + REACTION_MS, END_MS, 0, 0.5),
                    replay.firstMs(BURST_MS + REACTION_MS, END_MS, 0, 0.95),
                    replay.firstMs(BURST_MS + REACTION_MS, END_MS, 1, 0.5),
                    replay.firstMs(BURST_MS + REACTION_MS, END_MS, 1, 0.95),
                    swing(replay, BURST_MS + REACTION_MS, END_MS),
                    mostChanges(replay, nodes),
                    replay.answers.stream()
                                    .mapToInt(ZoneReplay.Answer::recomputed)
                                    .sum()
                            / 1_000);
        }
    }

    /** Returns the difference between the greatest and the least mean fraction of the nodes of zone 0. */
    private static double swing(ZoneReplay replay, long fromMs, long toMs) {
        double[] means = replay.fractions.subList((int) fromMs / 100, (int) toMs / 100).stream()
                .mapToDouble(f -> IntStream.range(0, f.length)
                        .filter(n -> n % ZoneReplay.ZONES == 0)
                        .mapToDouble(n -> f[n])
                        .average()
                        .orElseThrow())
                .toArray();
        return Arrays.stream(means).max().orElseThrow()
                - Arrays.stream(means).min().orElseThrow();
    }

    private static int mostChanges(ZoneReplay replay, int nodes) {
        return IntStream.range(0, nodes)
                .map(n -> (int) IntStream.range(1, replay.fractions.size())
                        .filter(i -> replay.fractions.get(i)[n] > 0
                                != replay.fractions.get(i - 1)[n] > 0)
                        .count())
                .max()
                .orElseThrow();
    }

    private static double fraction(ZoneReplay replay) {
        return replay.spill(0).fraction();
    }

    /** Sums that stop arriving would look like idle servers of other zones. */
    @ParameterizedTest
    @CsvSource({"8, 16", "60, 64", "370, 96"})
    void staysInItsZoneWhileReportsAreMissing(int nodes, int servers) {
        ZoneReplay replay = atRest(nodes, servers, true);
        replay.reporting = (node, t) -> t < BURST_MS;
        burst(replay, BURST_MS, END_MS);
        assertThat(replay.left(BURST_MS + 100, END_MS, -1)).isZero();
        replay.reporting = (node, t) -> true;
        burst(replay, END_MS, END_MS + REACTION_MS);
        assertThat(fraction(replay)).as("after the reports came back").isPositive();
    }

    /** Both aggregators of a group are lost: half of the nodes of each zone get no sums for a while. */
    @ParameterizedTest
    @CsvSource({"60, 64", "370, 96"})
    void levelsByTheRemainingNodesWhileOthersGetNoSums(int nodes, int servers) {
        ZoneReplay replay = atRest(nodes, servers, true);
        replay.reporting = (node, t) -> node / ZoneReplay.ZONES % 2 == 0 || t < BURST_MS;
        burst(replay, BURST_MS, END_MS);
        assertThat(replay.spill(ZoneReplay.ZONES).fraction()).isZero();
        assertThat(replay.left(BURST_MS + REACTION_MS, END_MS, 0)).isBetween(0.2, 0.5 + 0.1);
    }

    /** A zone that takes part of the others' requests loses its servers, then has them again. */
    @ParameterizedTest
    @CsvSource({"8, 16", "60, 64", "370, 96"})
    void sendsNothingToAZoneThatIsLost(int nodes, int servers) {
        ZoneReplay replay = atRest(nodes, servers, true);
        burst(replay, BURST_MS, BURST_MS + REACTION_MS);
        replay.up = (zone, t) -> zone != 1;
        long lostMs = BURST_MS + REACTION_MS;
        burst(replay, lostMs, END_MS);
        assertThat(replay.answers(lostMs, END_MS, -1)).noneMatch(a -> a.to() == 1);
        assertThat(replay.answers(lostMs, END_MS, 1))
                .as("requests of the lost zone")
                .isNotEmpty();
        for (int zone : new int[] {0, 2, 3}) {
            long there = replay.answers(lostMs, END_MS, 1).stream()
                    .filter(a -> a.to() == zone)
                    .count();
            assertThat(there / (double) replay.answers(lostMs, END_MS, 1).size())
                    .as("requests of the lost zone in zone %d", zone)
                    .isLessThan(0.7);
        }
    }

    /** All nodes restart in the burst: none knows its earlier fraction, and the sums still show its effect. */
    @ParameterizedTest
    @CsvSource({"8, 16", "60, 64", "370, 96"})
    void findsTheFractionAgainAfterARestartOfAllNodes(int nodes, int servers) {
        ZoneReplay replay = atRest(nodes, servers, true);
        long restartMs = BURST_MS + REACTION_MS;
        burst(replay, BURST_MS, restartMs);
        IntStream.range(0, nodes).forEach(replay::restart);
        burst(replay, restartMs, restartMs + 2 * REACTION_MS);
        long from = restartMs + REACTION_MS;
        assertThat(swing(replay, from, from + REACTION_MS)).isLessThan(EVEN / 2);
        assertThat(replay.firstMs(from, from + REACTION_MS, 0, 0.5))
                .isLessThan(replay.firstMs(from, from + REACTION_MS, 1, 0.5) + Engines.SCARCE.requestMs());
    }
}
