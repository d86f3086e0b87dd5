package org.fuchsiadeck.core.scale;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.request.RequestEvent;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that servers refuse, and against idle slots while requests wait, in a fleet whose servers are
 * briefly full: 98 servers of 16 slots that reject once 33 requests are queued in them, and attempts of 0.3 to 1.7 s.
 */
class ScarceCapacityTest {
    private static final Route ROUTE =
            new Route("ask", "model", Backend.Kind.ENGINE, "POST", "/ask", true, 20_000, 100_000, 5, RouteOptions.NONE);
    private static final int SLOTS = 16;
    private static final int SERVER_QUEUE = 33;
    private static final int STARTUP_MS = 15_000;
    private static final int MIN_MS = 300;
    private static final int MAX_MS = 1_700;
    private static final int STEP_MS = 25;

    /** The longest interval between reports, in milliseconds. */
    private static final int REPORT_MS = 500;

    /** The age at which a report expires, in milliseconds. */
    private static final int EXPIRY_MS = 2_000;

    /** The part of the baseline's result from which on a smaller one is taken for a difference, not for chance. */
    private static final double CHANCE = 0.98;

    /** A server, and the requests that wait in it. */
    private static final class Server {
        final Queue<Runnable> queued = new ArrayDeque<>();
        int running;
        int most;
    }

    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Runnable, Long> ends = new LinkedHashMap<>();
    private final Random random = new Random(7);
    private SimulatedFleet fleet;
    private boolean shared;
    private int slots;
    private int sent;
    private int completed;
    private int refused;
    private int requests;
    private int mostWaiting;
    private long idleMs;
    private long mostIdleMs;

    private void start(int nodes, int count, boolean sharing) {
        shared = sharing;
        fleet = new SimulatedFleet(7, nodes);
        fleet.servers = this::run;
        slots = count * SLOTS;
        for (int i = 0; i < count; i++) {
            fleet.store.write("servers/s" + i, "" + SLOTS);
        }
        configure(shared);
        fleet.runFor(STARTUP_MS);
    }

    private void configure(boolean sharing) {
        fleet.configure(new Configuration(
                1,
                Configuration.NONE.defaults().withValues(Map.of("shared_scheduling", sharing ? 1L : 0L)),
                List.of(),
                List.of(ROUTE),
                List.of()));
    }

    private void run(String node, RequestEffect.Dispatch dispatch) {
        sent++;
        Server server = servers.computeIfAbsent(dispatch.backend().id().value(), id -> new Server());
        post(node, 1, new RequestEvent.Writing(dispatch.id(), dispatch.attempt()));
        if (server.running >= SLOTS && server.queued.size() >= SERVER_QUEUE) {
            refused++;
            Failure failure = new Failure(Failure.Step.AWAITING, Failure.Kind.REFUSED_NOT_RUN, "10.0.0.2:1", "full");
            post(node, 3, new RequestEvent.AttemptFailed(dispatch.id(), dispatch.attempt(), failure, Optional.empty()));
            return;
        }
        server.queued.add(() -> {
            server.running++;
            int tookMs = MIN_MS + random.nextInt(MAX_MS - MIN_MS);
            post(node, 2, new RequestEvent.AnswerStarted(dispatch.id(), dispatch.attempt(), Optional.empty()));
            post(
                    node,
                    tookMs,
                    new RequestEvent.AnswerCompleted(dispatch.id(), dispatch.attempt(), 200, 0, 0, Optional.empty()));
            ends.put(
                    () -> {
                        server.running--;
                        completed += isOpen(node, dispatch.id()) ? 1 : 0;
                        next(server);
                    },
                    fleet.nowMs + tookMs - 1);
        });
        next(server);
        server.most = Math.max(server.most, server.running + server.queued.size());
    }

    /** Returns whether the node has not been lost with the request, so that the caller gets the answer. */
    private boolean isOpen(String node, RequestId id) {
        return fleet.nodes.containsKey(node)
                && fleet.nodes.get(node).requests().open().containsKey(id);
    }

    private void next(Server server) {
        while (server.running < SLOTS && !server.queued.isEmpty()) {
            server.queued.remove().run();
        }
    }

    private void post(String node, long delayMs, Event event) {
        fleet.post(node, delayMs, event);
    }

    /** Sends requests to random nodes, at a rate relative to that at which all slots are in use. */
    private void load(double rate, long ms) {
        long endMs = fleet.nowMs + ms;
        double due = 0;
        while (fleet.nowMs < endMs) {
            List<String> nodes = List.copyOf(fleet.nodes.keySet());
            due += rate * slots * STEP_MS / ((MIN_MS + MAX_MS) / 2.0);
            for (; due >= 1; due--) {
                CallerRequest.Completion completion =
                        new CallerRequest.Completion("m", Optional.empty(), List.of(), 100, 10);
                CallerRequest call = new CallerRequest(
                        "POST", "/ask", new TeamId("t"), Optional.empty(), 10, false, Optional.of(completion));
                post(
                        nodes.get(random.nextInt(nodes.size())),
                        random.nextInt(STEP_MS),
                        new RequestEvent.Arrived(new RequestId("r" + requests++), call));
            }
            for (int i = 0; i < STEP_MS; i++) {
                fleet.runFor(1);
                endDue();
            }
            measure();
        }
    }

    private void endDue() {
        List<Runnable> due = ends.entrySet().stream()
                .filter(e -> e.getValue() <= fleet.nowMs)
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(ends::remove);
        due.forEach(Runnable::run);
    }

    /** Measures for how long a tenth of the slots is idle while as many requests wait. */
    private void measure() {
        int waiting = waiting();
        int idle = slots - servers.values().stream().mapToInt(s -> s.running).sum();
        mostWaiting = Math.max(mostWaiting, waiting);
        idleMs = idle * 10 > slots && waiting * 10 > slots ? idleMs + STEP_MS : 0;
        mostIdleMs = Math.max(mostIdleMs, idleMs);
    }

    private int waiting() {
        return fleet.nodes.values().stream()
                .map(NodeState::requests)
                .mapToInt(r -> r.queues().values().map(q -> q.size()).sum().intValue())
                .sum();
    }

    private int most() {
        return servers.values().stream().mapToInt(s -> s.most).max().orElse(0);
    }

    private void burst() {
        load(0.85, 3_000);
        load(1.45, 6_000);
        load(0.6, 10_000);
    }

    private void print(String what) {
        System.out.printf(
                "%s: %d requests, %d sent, %d refused by servers, %d by nodes, %d retried, at most %d at a server,"
                        + " %d completed, most waiting %d, idle while waiting %d ms, still waiting %d%n",
                what,
                requests,
                sent,
                refused,
                fleet.logLines.getOrDefault("REQUEST_REFUSED", 0),
                fleet.logLines.getOrDefault("REQUEST_RETRIED", 0),
                most(),
                completed,
                mostWaiting,
                mostIdleMs,
                waiting());
    }

    @ParameterizedTest
    @CsvSource({"8, 98", "60, 98", "370, 98"})
    void requestsAreSentOnceWhileThePoolIsFull(int nodes, int count) {
        ScarceCapacityTest before = new ScarceCapacityTest();
        before.start(nodes, count, false);
        before.burst();
        before.print(nodes + " nodes, own counts");
        start(nodes, count, true);
        burst();
        print(nodes + " nodes, shared capacity");
        assertThat(refused).isZero();
        assertThat(sent).isLessThanOrEqualTo(requests);
        assertThat(most()).isLessThanOrEqualTo(SLOTS + SERVER_QUEUE);
        assertThat(waiting()).isZero();
        assertThat(completed).isGreaterThanOrEqualTo(before.completed);
        assertThat(mostIdleMs).isLessThanOrEqualTo(REPORT_MS);
    }

    @Tag("known-red")
    @Test
    void noCapacityIsIdleForLongerThanAReportIntervalWhileRequestsWait() {
        start(80, 98, true);
        burst();
        print("80 nodes, shared capacity");
        assertThat(refused).isZero();
        assertThat(sent).isLessThanOrEqualTo(requests);
        assertThat(mostIdleMs).isLessThanOrEqualTo(REPORT_MS);
    }

    @ParameterizedTest
    @CsvSource({"8", "60", "80", "370"})
    void nothingWaitsWhileThePoolIsNotFull(int nodes) {
        start(nodes, 98, true);
        load(0.85, 6_000);
        assertThat(fleet.logLines).doesNotContainKey("REQUEST_WAITS");
        assertThat(refused).isZero();
    }

    private Set<String> some(double fraction) {
        return fleet.nodes.keySet().stream()
                .filter(id -> random.nextDouble() < fraction)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private void burstWith(Consumer<ScarceCapacityTest> trouble) {
        load(1.45, 4_000);
        trouble.accept(this);
        load(1.45, 2_000);
        load(0.6, 15_000);
    }

    /** Asserts that a trouble during a burst does no more harm than where each node goes by its own counts. */
    private void assertNotWorse(String what, Consumer<ScarceCapacityTest> trouble) {
        ScarceCapacityTest before = new ScarceCapacityTest();
        before.start(80, 98, false);
        before.burstWith(trouble);
        before.print(what + ", own counts");
        start(80, 98, true);
        burstWith(trouble);
        print(what + ", shared capacity");
        assertThat(refused).isLessThanOrEqualTo(before.refused);
        assertThat(completed).isGreaterThanOrEqualTo((int) (CHANCE * before.completed));
        assertThat(waiting()).isZero();
    }

    /** Asserts in addition that capacity stands idle no longer than until the reports from before the trouble expire. */
    private void assertUsedAfterExpiry(String what, Consumer<ScarceCapacityTest> trouble) {
        assertNotWorse(what, trouble);
        assertThat(mostIdleMs).isLessThanOrEqualTo(EXPIRY_MS + REPORT_MS);
    }

    @Test
    void aCutFreesWhatTheOtherSideHolds() {
        assertUsedAfterExpiry("cut", t -> t.fleet.separate(t.some(0.3)));
    }

    @Test
    void nodesLostWhileTheyHoldCapacityAreForgotten() {
        assertUsedAfterExpiry("nodes lost", t -> t.some(0.3).forEach(t.fleet::kill));
    }

    /** Delays each message by 400 ms, so that reports are about 2 s old after three hops: the most that is expected. */
    @Test
    @Tag("known-red")
    void lateReportsDoNotStopTheQueues() {
        assertNotWorse("late reports", t -> t.fleet.setDelay(400));
    }

    @Test
    @Tag("known-red")
    void lostReportsDoNotStopTheQueues() {
        assertUsedAfterExpiry("lost reports", t -> t.fleet.setLossRate(0.3));
    }

    @Test
    void lostAggregatorsDoNotStopTheQueues() {
        assertUsedAfterExpiry("aggregators lost", t -> {
            Set.copyOf(t.fleet.sums.keySet()).forEach(t.fleet::kill);
            assertThat(t.fleet.nodes).isNotEmpty();
        });
    }

    @Test
    void allNodesRestartedAtOnceServeAgain() {
        assertUsedAfterExpiry("all restarted", t -> {
            Set<String> all = Set.copyOf(t.fleet.nodes.keySet());
            all.forEach(t.fleet::kill);
            all.forEach(t.fleet::start);
            t.configure(t.shared);
            t.fleet.runFor(1_000);
        });
    }
}
