package org.fuchsiadeck.core.scale;

import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against nodes that go on using backend servers whose leaving or removal was accepted by the platform's service. */
class RemovedServerUsedByNodesThatWereNotToldTest {
    private static final int SEEDS = 3;
    private static final int SERVERS = 20;
    private static final int STARTUP_MS = 15_000;
    private static final int STEP_MS = 20;
    private static final String REMOVED = "s3";
    private static final String LEAVING = "s4";

    /** The time after which no node may use a server that has left, in milliseconds, by the number of nodes. */
    private static long boundMs(int nodes) {
        return nodes < 16 ? 2_000 : nodes < 100 ? 3_000 : 4_000;
    }

    /** Starts a trouble just before the change. */
    @FunctionalInterface
    private interface Start {
        void in(SimulatedFleet fleet, Random random);
    }

    private enum Trouble {
        NONE((fleet, random) -> {}),
        SILENT_WATCHES((fleet, random) -> fleet.store.silenceWatches(all())),
        HISTORY_DISCARDED((fleet, random) -> {
            fleet.store.silenceWatches(all());
            fleet.store.forgetHistory();
        }),
        LOSS_AND_DELAY((fleet, random) -> {
            fleet.setLossRate(0.2);
            fleet.setDelay(300);
            fleet.store.silenceWatches(some(fleet, random, 0.5)::contains);
        }),
        THIRD_STOPPED((fleet, random) -> {
            some(fleet, random, 0.3).forEach(fleet::kill);
            fleet.store.silenceWatches(all());
        }),
        HALF_STOPPED_WITH_LOSS((fleet, random) -> {
            some(fleet, random, 0.5).forEach(fleet::kill);
            fleet.setLossRate(0.1);
            fleet.store.silenceWatches(all());
        }),
        RESTARTED((fleet, random) -> {
            Set<String> restarted = some(fleet, random, 0.35);
            restarted.forEach(fleet::kill);
            fleet.runFor(1_000);
            restarted.forEach(fleet::start);
            fleet.runFor(500);
            fleet.store.silenceWatches(all());
        }),
        THIRD_TURNED_AWAY((fleet, random) -> {
            fleet.store.refused.addAll(some(fleet, random, 0.35));
            fleet.store.silenceWatches(fleet.store.refused::contains);
        }),
        CUT_FROM_OTHERS((fleet, random) -> {
            fleet.separate(some(fleet, random, 0.3));
            fleet.store.silenceWatches(all());
        });

        private final Start start;

        Trouble(Start start) {
            this.start = start;
        }
    }

    private static Predicate<String> all() {
        return id -> true;
    }

    private static Set<String> some(SimulatedFleet fleet, Random random, double share) {
        return fleet.nodes.keySet().stream()
                .filter(id -> random.nextDouble() < share)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void smallFleetGivesUpServersInTime(Trouble trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertGivenUpInTime(8, trouble, seed);
        }
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void fleetOf60GivesUpServersInTime(Trouble trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertGivenUpInTime(60, trouble, seed);
        }
    }

    @ParameterizedTest
    @CsvSource({"NONE", "HALF_STOPPED_WITH_LOSS", "THIRD_TURNED_AWAY"})
    void fleetOf370GivesUpServersInTime(Trouble trouble) {
        assertGivenUpInTime(370, trouble, 1);
    }

    private static void assertGivenUpInTime(int count, Trouble trouble, int seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, count);
        for (int i = 0; i < SERVERS; i++) {
            fleet.store.write("servers/s" + i, "ready");
        }
        fleet.runFor(STARTUP_MS);
        trouble.start.in(fleet, new Random(seed));
        fleet.store.remove("servers/" + REMOVED);
        fleet.store.write("servers/" + LEAVING, "leaving");
        long fromMs = fleet.nowMs;
        while (fleet.nowMs - fromMs < boundMs(count) && isUsedByAny(fleet)) {
            fleet.runFor(STEP_MS);
        }
        Set<String> users = fleet.nodes.entrySet().stream()
                .filter(n -> uses(n.getValue(), REMOVED) || uses(n.getValue(), LEAVING))
                .map(n -> n.getKey())
                .collect(Collectors.toCollection(TreeSet::new));
        System.out.printf("%d nodes, %s, seed %d: %d ms%n", count, trouble, seed, fleet.nowMs - fromMs);
        assertThat(users).as("%d nodes, %s, seed %d", count, trouble, seed).isEmpty();
    }

    private static boolean isUsedByAny(SimulatedFleet fleet) {
        return fleet.nodes.values().stream().anyMatch(n -> uses(n, REMOVED) || uses(n, LEAVING));
    }

    private static boolean uses(NodeState node, String server) {
        Fleet fleet = node.requests().fleet();
        BackendId id = new BackendId(server);
        return fleet.servers().get(id).exists(BackendStatus::listed)
                && !fleet.departures().containsKey(id);
    }
}
