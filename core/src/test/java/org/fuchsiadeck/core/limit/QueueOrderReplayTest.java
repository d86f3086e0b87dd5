package org.fuchsiadeck.core.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an order of queued requests under which a kind, a team or a size is hardly served while capacity is
 * scarce: 98 engines, three kinds of streaming requests, and 16 teams of which one sends 7.5 times its usual load.
 */
class QueueOrderReplayTest {
    private static final int SEED = 7;
    private static final int TEAMS = 16;
    private static final int BURST_TEAM = 0;
    private static final double BURST_FACTOR = 7.5;

    /** Share of the usual load of the team with the burst: the total rises to 1.7 times the usual one. */
    private static final double BURST_SHARE = 0.108;

    private static final double ENGINES = 98;
    private static final double TOKENS_PER_MS = 112;
    /** Fraction of the engines in the burst: one of four zones was reclaimed. */
    private static final double ZONES_LEFT = 0.75;

    private static final long DECODE_MS = 1_000;
    private static final int QUEUE_LIMIT = 256;
    private static final int REPORT_MS = 500;
    private static final int BURST_START_MS = 1_500;
    private static final int BURST_END_MS = 6_500;
    private static final int END_MS = 12_000;

    /** By priority: prompt tokens, target of the first token in milliseconds, fraction of all requests. */
    private static final double[][] KINDS = {{17_020, 1_500, 0.2}, {9_190, 500, 0.3}, {1_110, 400, 0.5}};

    /** How long callers wait for the first token, as a multiple of the target. */
    private static final int PATIENCE = 2;

    private enum Order {
        FIFO,
        FAIR_QUEUE,
        SHARED
    }

    private enum Fault {
        NONE,
        AGGREGATORS_LOST,
        NODE_PARTITIONED,
        CLOCKS_DIFFER,
        ALL_RESTARTED
    }

    private record Call(int kind, int team, double tokens, boolean large, long arrivedMs) {}

    private record Setup(Order order, int nodes, int burstNodes, Fault fault, int seed) {}

    /** Requests that arrived in the burst, and those of them whose first token came in time. */
    private static final class Tally {
        int asked;
        int served;
        int onTime;

        double ratio() {
            return (double) served / asked;
        }
    }

    private static final class Node {
        final long[] spent = new long[TEAMS];
        FairQueue queue = FairQueue.EMPTY;
        ServiceLoad load = ServiceLoad.NONE;
        long clockMs;
    }

    private static final class Replay {
        final Setup setup;
        final Random random;
        final List<Node> nodes = new ArrayList<>();
        final Map<RequestId, Call> calls = new TreeMap<>(Comparator.comparing(RequestId::value));
        final PriorityQueue<long[]> ends = new PriorityQueue<>(Comparator.comparingLong((long[] e) -> e[0]));
        final Map<String, Tally> tallies = new TreeMap<>();
        final long[] reported = new long[TEAMS];
        int[] waiting;
        double credit;

        Replay(Setup setup) {
            this.setup = setup;
            random = new Random(setup.seed);
            for (int i = 0; i < setup.nodes; i++) {
                nodes.add(new Node());
                nodes.get(i).clockMs = setup.fault == Fault.CLOCKS_DIFFER ? random.nextInt(3_600_000) : 0;
            }
            waiting = new int[setup.nodes];
        }

        Replay run() {
            double meanTokens = 0;
            for (double[] kind : KINDS) {
                meanTokens += kind[0] * kind[2];
            }
            double capacity = ENGINES * TOKENS_PER_MS;
            double usualPerMs = capacity / meanTokens;
            for (long now = 0; now < END_MS; now++) {
                boolean burst = now >= BURST_START_MS && now < BURST_END_MS;
                double othersPerMs = usualPerMs * (1 - BURST_SHARE) * (now < BURST_END_MS ? 1 : 0.3);
                arrive(now, othersPerMs, false);
                arrive(now, usualPerMs * BURST_SHARE * (burst ? BURST_FACTOR : 1), true);
                if (now == (BURST_START_MS + BURST_END_MS) / 2 && setup.fault == Fault.ALL_RESTARTED) {
                    restart();
                }
                while (!ends.isEmpty() && ends.peek()[0] <= now) {
                    long[] end = ends.remove();
                    Node node = nodes.get((int) end[1]);
                    node.load = node.load.withEndedAttempt(end[2], 10);
                }
                if (now % REPORT_MS == 0) {
                    report();
                }
                double zones = now >= BURST_START_MS && now < BURST_END_MS ? ZONES_LEFT : 1;
                credit = Math.min(credit + capacity * zones, capacity);
                release(now);
            }
            return this;
        }

        private void arrive(long now, double perMs, boolean burstTeam) {
            int count = (int) perMs + (random.nextDouble() < perMs - (int) perMs ? 1 : 0);
            for (int i = 0; i < count; i++) {
                double draw = random.nextDouble();
                int kind = draw < KINDS[0][2] ? 0 : draw < KINDS[0][2] + KINDS[1][2] ? 1 : 2;
                // Three of the other teams are large: each sends as much as the one with the burst usually does.
                int other = random.nextDouble() < 0.36 ? 1 + random.nextInt(3) : 4 + random.nextInt(TEAMS - 4);
                int team = burstTeam ? BURST_TEAM : other;
                boolean large = random.nextInt(10) == 0;
                double factor = large ? 2 : 0.5 + 0.78 * random.nextDouble();
                int node = random.nextInt(burstTeam ? setup.burstNodes : setup.nodes);
                enqueue(nodes.get(node), new Call(kind, team, KINDS[kind][0] * factor, large, now), now);
            }
        }

        private void enqueue(Node node, Call call, long now) {
            tally(call, t -> t.asked++);
            long local = now + node.clockMs;
            double cost = 100 + call.tokens / 10;
            long target = (long) KINDS[call.kind][1];
            QueueTerms terms = new QueueTerms(
                    local, local + target, local + PATIENCE * target, Math.round(call.tokens / TOKENS_PER_MS), cost);
            RequestId id = new RequestId("r" + calls.size());
            Ticket ticket = node.queue
                    .ticketFor(id, new TeamId("t" + call.team), 1, call.kind, cost)
                    .with(setup.order == Order.SHARED ? terms : QueueTerms.NONE);
            calls.put(id, call);
            List<Ticket> order = sort(node, node.queue.tickets().add(ticket), local);
            long waitMs = predictedWaitMs(node, order.indexOf(ticket), local);
            if (setup.order == Order.SHARED) {
                node.queue = node.queue.with(node.queue.history().withArrival(ticket));
            }
            Ticket last = order.get(order.size() - 1);
            boolean full = node.queue.size() >= QUEUE_LIMIT;
            long first = setup.order == Order.SHARED ? terms.firstTokenMs() : 0;
            long latest = order(node, local).latestMs(ticket);
            if (local + waitMs + first > Math.min(latest, terms.deadlineMs()) || full && last.equals(ticket)) {
                node.queue = node.queue.with(node.queue.history().withOutcome(ticket, false, local));
                return;
            }
            if (full) {
                lose(node, last, local);
            }
            node.spent[call.team] += Math.round(call.tokens);
            node.queue = node.queue.with(ticket);
        }

        private List<Ticket> sort(Node node, Iterable<Ticket> tickets, long local) {
            List<Ticket> order = new ArrayList<>();
            tickets.forEach(order::add);
            if (setup.order == Order.FIFO) {
                order.sort(Comparator.comparingLong(Ticket::sequence));
            }
            if (setup.order != Order.SHARED) {
                return order;
            }
            return order(node, local).sort(order);
        }

        private long predictedWaitMs(Node node, int ahead, long local) {
            return setup.order == Order.SHARED
                    ? node.queue.history().predictedWaitMs(node.load, ahead, local)
                    : node.load.predictedWaitMs(ahead);
        }

        private QueueOrder order(Node node, long local) {
            List<TeamShares.Use> uses = new ArrayList<>();
            boolean alone = setup.fault == Fault.AGGREGATORS_LOST
                    || setup.fault == Fault.NODE_PARTITIONED && node == nodes.get(0);
            for (int team = 0; team < TEAMS; team++) {
                long units = alone ? node.spent[team] : Math.max(reported[team], node.spent[team]);
                uses.add(new TeamShares.Use(new TeamId("t" + team), 1, units, true));
            }
            return new QueueOrder(node.queue.history(), TeamShares.of(uses), local, 10);
        }

        /** Dispatches while the engines keep up; a node's share is its fraction of the requests last reported. */
        private void release(long now) {
            while (credit > 0) {
                Node node = draw();
                if (node == null) {
                    return;
                }
                long local = now + node.clockMs;
                if (setup.order == Order.SHARED) {
                    QueueOrder rules = order(node, local);
                    node.queue.tickets().filter(rules::isTooLate).forEach(t -> lose(node, t, local));
                }
                if (node.queue.size() == 0) {
                    continue;
                }
                List<Ticket> order = sort(node, node.queue.tickets(), local);
                Ticket next = order.get(0);
                Call call = calls.get(next.id());
                node.queue = node.queue.withDispatch(next);
                long firstMs = now + Math.round(call.tokens / TOKENS_PER_MS) - call.arrivedMs;
                if (firstMs > PATIENCE * KINDS[call.kind][1]) {
                    // The caller has left: not dispatched.
                    node.queue = node.queue.with(node.queue.history().withOutcome(next, false, local));
                    continue;
                }
                credit -= call.tokens;
                node.queue = node.queue.with(node.queue.history().withOutcome(next, true, local));
                node.load = node.load.withDispatch();
                long durationMs = Math.round(call.tokens / TOKENS_PER_MS) + DECODE_MS;
                ends.add(new long[] {now + durationMs, nodes.indexOf(node), durationMs});
                tally(call, t -> t.served++);
                if (firstMs <= KINDS[call.kind][1]) {
                    tally(call, t -> t.onTime++);
                }
            }
        }

        private void lose(Node node, Ticket ticket, long local) {
            boolean shared = setup.order == Order.SHARED;
            FairQueue rest = shared ? node.queue.withRefusal(ticket) : node.queue.without(ticket);
            node.queue = rest.with(rest.history().withOutcome(ticket, false, local));
        }

        private Node draw() {
            int total = 0;
            for (int count : waiting) {
                total += count + 1;
            }
            int index = 0;
            for (int left = random.nextInt(total); left >= waiting[index] + 1; index++) {
                left -= waiting[index] + 1;
            }
            for (int i = 0; i < nodes.size(); i++) {
                Node node = nodes.get((index + i) % nodes.size());
                if (node.queue.size() > 0) {
                    return node;
                }
            }
            return null;
        }

        private void report() {
            Arrays.fill(reported, 0);
            for (int i = 0; i < nodes.size(); i++) {
                waiting[i] = nodes.get(i).queue.size();
                boolean silent = setup.fault == Fault.NODE_PARTITIONED && i == 0;
                for (int team = 0; team < TEAMS && !silent; team++) {
                    reported[team] += nodes.get(i).spent[team];
                }
            }
        }

        private void restart() {
            for (Node node : nodes) {
                node.queue = FairQueue.EMPTY;
                node.load = ServiceLoad.NONE;
                Arrays.fill(node.spent, 0);
            }
            ends.clear();
            report();
        }

        private void tally(Call call, Consumer<Tally> change) {
            if (call.arrivedMs < BURST_START_MS || call.arrivedMs >= BURST_END_MS) {
                return;
            }
            List<String> keys = List.of(
                    "all",
                    "kind" + call.kind,
                    String.format(Locale.ROOT, "team%02d", call.team),
                    (call.large ? "large" : "usual") + call.kind);
            keys.forEach(k -> change.accept(tallies.computeIfAbsent(k, x -> new Tally())));
        }

        double ratio(String key) {
            return tallies.get(key).ratio();
        }

        /** Returns the lowest ratio of some classes, as a fraction of the highest. */
        double spread(Predicate<String> keys) {
            double[] ratios = tallies.keySet().stream()
                    .filter(keys)
                    .mapToDouble(this::ratio)
                    .sorted()
                    .toArray();
            return ratios[0] / ratios[ratios.length - 1];
        }

        String summary() {
            return String.format(
                    Locale.ROOT,
                    "%s served %.2f, in target %.2f, by priority 2,1,0: %.2f %.2f %.2f, burst team %.2f, teams %.2f,"
                            + " largest 2,1,0: %.2f %.2f %.2f",
                    setup,
                    ratio("all"),
                    (double) tallies.get("all").onTime / tallies.get("all").asked,
                    ratio("kind2"),
                    ratio("kind1"),
                    ratio("kind0"),
                    ratio("team00"),
                    spread(k -> k.startsWith("team")),
                    ratio("large2"),
                    ratio("large1"),
                    ratio("large0"));
        }
    }

    @ParameterizedTest
    @CsvSource({"8, 1", "8, 8", "60, 4", "60, 60", "370, 8", "370, 370"})
    void servesKindsTeamsAndSizesFairlyInABurst(int nodes, int burstNodes) {
        Replay shared = new Replay(new Setup(Order.SHARED, nodes, burstNodes, Fault.NONE, SEED)).run();
        Replay fifo = new Replay(new Setup(Order.FIFO, nodes, burstNodes, Fault.NONE, SEED)).run();
        Replay present = new Replay(new Setup(Order.FAIR_QUEUE, nodes, burstNodes, Fault.NONE, SEED)).run();
        String figures = shared.summary() + "\n" + fifo.summary() + "\n" + present.summary();
        assertFair(shared);
        assertThat(shared.tallies.get("all").onTime).as(figures).isGreaterThanOrEqualTo(fifo.tallies.get("all").onTime);
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void staysFairUnderAFault(Fault fault) {
        Replay replay = new Replay(new Setup(Order.SHARED, 60, 60, fault, SEED)).run();
        assertFair(replay);
    }

    /** With hundreds of nodes, each one compares few outcomes; priority 0 can come out ahead of priority 1. */
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 11, 23})
    void staysFairInALargeFleetWithOtherSeeds(int seed) {
        assertFair(new Replay(new Setup(Order.SHARED, 370, 8, Fault.NONE, seed)).run());
    }

    private static void assertFair(Replay replay) {
        String figures = replay.summary();
        assertThat(replay.spread(k -> k.startsWith("kind"))).as(figures).isGreaterThanOrEqualTo(0.25);
        assertThat(replay.spread(k -> k.startsWith("team"))).as(figures).isGreaterThanOrEqualTo(0.25);
        assertThat(replay.ratio("kind2")).as(figures).isGreaterThanOrEqualTo(replay.ratio("kind1"));
        assertThat(replay.ratio("kind1")).as(figures).isGreaterThanOrEqualTo(replay.ratio("kind0"));
        for (int kind = 0; kind < KINDS.length; kind++) {
            assertThat(replay.ratio("large" + kind))
                    .as(figures)
                    .isGreaterThanOrEqualTo(replay.ratio("kind" + kind) / 2);
        }
    }
}
