package org.fuchsiadeck.core.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.request.RequestEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against more requests to a backend server, from all nodes together, than the limit that it names. */
class LimitedServerTest {
    private static final Route ROUTE =
            new Route("ask", "model", Backend.Kind.ENGINE, "POST", "/ask", true, 10_000, 100_000, 5, RouteOptions.NONE);
    private static final double LIMIT_PER_S = 1.2;
    private static final long WINDOW_MS = 4_000;
    private static final int SERVERS = 4;
    private static final int STARTUP_MS = 15_000;
    private static final int MEASURED_MS = 16_000;
    private static final int ANSWER_MS = 200;

    /** Time after a server first named its limit from which it is kept, in milliseconds. */
    private static final long CONTACT_MS = 3_000;

    private final List<Long> limitedMs = new ArrayList<>();
    private final Set<String> limited = new TreeSet<>();
    private int requests;
    private int answered;

    /** A trouble during the limit. */
    @FunctionalInterface
    private interface Start {
        void in(SimulatedFleet fleet, Random random);
    }

    private enum Trouble {
        NONE((fleet, random) -> {}),
        LOSS_AND_DELAY((fleet, random) -> {
            fleet.setLossRate(0.2);
            fleet.setDelay(300);
        }),
        THIRD_STOPPED((fleet, random) -> some(fleet, random).forEach(fleet::kill)),
        RESTARTED((fleet, random) -> {
            Set<String> restarted = some(fleet, random);
            restarted.forEach(fleet::kill);
            fleet.runFor(1_000);
            restarted.forEach(fleet::start);
            fleet.configure(configuration());
        }),
        CUT((fleet, random) -> fleet.separate(some(fleet, random)));

        private final Start start;

        Trouble(Start start) {
            this.start = start;
        }
    }

    private static Configuration configuration() {
        return new Configuration(1, Configuration.NONE.defaults(), List.of(), List.of(ROUTE), List.of());
    }

    private static Set<String> some(SimulatedFleet fleet, Random random) {
        return fleet.nodes.keySet().stream()
                .filter(id -> random.nextDouble() < 0.3)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private SimulatedFleet start(int count, int servers, int seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, count);
        fleet.servers = (node, dispatch) -> run(fleet, node, dispatch);
        for (int i = 0; i < servers; i++) {
            fleet.store.write("servers/s" + i, "ready");
        }
        fleet.configure(configuration());
        fleet.runFor(STARTUP_MS);
        return fleet;
    }

    private void run(SimulatedFleet fleet, String node, RequestEffect.Dispatch dispatch) {
        String server = dispatch.backend().id().value();
        boolean names = limited.contains(server);
        if (server.equals("s0")) {
            limitedMs.add(fleet.nowMs);
        }
        OptionalDouble limit = names ? OptionalDouble.of(LIMIT_PER_S) : OptionalDouble.empty();
        BackendReport report = new BackendReport(Optional.empty(), false, 0, limit);
        fleet.post(node, 1, new RequestEvent.Writing(dispatch.id(), dispatch.attempt()));
        fleet.post(
                node,
                ANSWER_MS,
                new RequestEvent.AnswerCompleted(dispatch.id(), dispatch.attempt(), 200, 0, 0, Optional.of(report)));
        answered++;
    }

    /** Sends requests to random nodes for some time. */
    private void load(SimulatedFleet fleet, Random random, double perSecond, long ms) {
        long end = fleet.nowMs + ms;
        while (fleet.nowMs < end) {
            List<String> nodes = List.copyOf(fleet.nodes.keySet());
            CallerRequest.Completion completion =
                    new CallerRequest.Completion("m", Optional.empty(), List.of(), 100, 10);
            CallerRequest call = new CallerRequest(
                    "POST", "/ask", new TeamId("t"), Optional.empty(), 10, false, Optional.of(completion));
            String node = nodes.get(random.nextInt(nodes.size()));
            fleet.post(node, 0, new RequestEvent.Arrived(new RequestId("r" + requests++), call));
            fleet.runFor(Math.max(1, Math.round(1_000 / perSecond)));
        }
    }

    private long maxInWindow(long fromMs) {
        return limitedMs.stream()
                .filter(from -> from >= fromMs)
                .mapToLong(from -> limitedMs.stream()
                        .filter(at -> at >= from && at < from + WINDOW_MS)
                        .count())
                .max()
                .orElse(0);
    }

    private void assertLimitHolds(int count, int limitedServers, double perSecond, Trouble trouble, int seed) {
        SimulatedFleet fleet = start(count, SERVERS, seed);
        Random random = new Random(seed);
        limited.addAll(List.of("s0", "s1", "s2", "s3").subList(0, limitedServers));
        load(fleet, random, perSecond, CONTACT_MS);
        long fromMs = fleet.nowMs;
        trouble.start.in(fleet, random);
        load(fleet, random, perSecond, MEASURED_MS);
        System.out.printf(
                "%d nodes, %d limited servers, %s, seed %d: %d in 4 s, %d in %d ms%n",
                count,
                limitedServers,
                trouble,
                seed,
                maxInWindow(fromMs),
                limitedMs.stream().filter(at -> at >= fromMs).count(),
                fleet.nowMs - fromMs);
        assertThat(maxInWindow(fromMs))
                .as("%d nodes, %s, seed %d", count, trouble, seed)
                .isLessThanOrEqualTo((long) (1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5));
        limitedMs.clear();
        limited.clear();
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void smallFleetKeepsToALimit(Trouble trouble) {
        for (int seed = 1; seed <= 3; seed++) {
            assertLimitHolds(8, 1, 40, trouble, seed);
            assertLimitHolds(8, SERVERS, 20, trouble, seed);
        }
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void fleetOf60KeepsToALimit(Trouble trouble) {
        assertLimitHolds(60, 1, 100, trouble, 1);
        assertLimitHolds(60, SERVERS, 40, trouble, 1);
    }

    @ParameterizedTest
    @CsvSource({"NONE", "CUT"})
    void fleetOf370KeepsToALimit(Trouble trouble) {
        assertLimitHolds(370, SERVERS, 40, trouble, 1);
    }

    @Test
    void limitedServersGetNearlyTheirLimitsWhileRequestsWait() {
        SimulatedFleet fleet = start(8, 2, 1);
        limited.addAll(Set.of("s0", "s1"));
        Random random = new Random(1);
        load(fleet, random, 6, CONTACT_MS);
        long fromMs = fleet.nowMs;
        load(fleet, random, 6, 20_000);
        long got = limitedMs.stream().filter(at -> at >= fromMs).count();
        System.out.printf("limited servers: %d of %.0f%n", got, LIMIT_PER_S * 20);
        assertThat(got).isGreaterThan(Math.round(0.8 * LIMIT_PER_S * 20));
        assertThat(fleet.logLines).containsKey("REQUEST_REFUSED");
    }

    @Test
    void aServerThatNamesNoLimitAnyMoreIsUsedAsBefore() {
        SimulatedFleet fleet = start(8, 2, 1);
        Random random = new Random(1);
        limited.add("s0");
        load(fleet, random, 20, CONTACT_MS);
        limited.clear();
        load(fleet, random, 20, 4_000);
        long fromMs = fleet.nowMs;
        load(fleet, random, 20, 4_000);
        assertThat(limitedMs.stream().filter(at -> at >= fromMs).count()).isGreaterThan(25);
    }
}
