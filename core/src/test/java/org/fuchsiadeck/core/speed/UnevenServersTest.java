package org.fuchsiadeck.core.speed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import io.vavr.collection.Array;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.fuchsiadeck.core.limit.ConcurrencyLimit;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Candidates;
import org.fuchsiadeck.core.routing.Choice;
import org.fuchsiadeck.core.routing.Health;
import org.fuchsiadeck.core.routing.ReportedLoad;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.routing.RoutingContext;
import org.fuchsiadeck.core.routing.SentPrefixes;
import org.fuchsiadeck.core.routing.ServerEstimates;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against routing that ignores differences in speed: it replays a load in which a quarter of the servers have
 * 0.45 of the others' speed and any server takes 2.5 times as long for some hundred milliseconds at a time. The baseline
 * is the same router with equal speeds.
 */
class UnevenServersTest {
    private static final Zone ZONE = new Zone("z");
    private static final double SLOW_SPEED = 0.45;
    private static final double SLOWDOWN = 2.5;
    private static final double TOKENS_PER_MS = 58;
    private static final double BASE_MS = 8;

    /** Time between two reports of a node up to and above 16 nodes. */
    private static final int SMALL_REPORT_MS = 300;

    private static final int GROUPED_REPORT_MS = 500;
    private static final int SPEED_REPORT_MS = 2_000;
    private static final int STAGGER_MS = 37;
    private static final int PREFIXES_PER_SERVER = 8;
    private static final long STREAM_MS = 500;
    private static final int PLAIN_SLOTS = 6;
    private static final long PLAIN_TARGET_MS = 120;

    /** Time of a request of the service without prompts, which runs in any free slot. */
    private static final double PLAIN_MS = 50;

    /** Part of the capacity of all servers that is used if every prefix is in a cache. */
    private static final double UTILIZATION = 0.45;

    private final Random random = new Random(11);

    private record Event(long atMs, int node, int server, int unread, long startMs, boolean observed, boolean first) {}

    private final class Fleet {
        final boolean learning;
        final boolean prompts;
        final SpeedState[] nodes;
        final int[][] inFlight;
        final int[][] unread;
        final Backend[] backends;
        final Candidates[] candidates;
        final double[][] freeMs;
        final long[] slowUntilMs;
        final List<java.util.Set<Long>> cached = new ArrayList<>();
        final int[][] reportedInFlight;
        final int[][] reportedUnread;
        final int[] totalInFlight;
        final int[] totalUnread;
        Map<BackendId, ServerTimes> totals = HashMap.empty();
        Map<BackendId, BackendStatus> known = HashMap.empty();
        final List<Double> tookMs = new ArrayList<>();

        Fleet(int nodeCount, int serverCount, boolean prompts, boolean learning) {
            this.learning = learning;
            this.prompts = prompts;
            nodes = new SpeedState[nodeCount];
            Arrays.fill(nodes, SpeedState.NONE);
            inFlight = new int[nodeCount][serverCount];
            unread = new int[nodeCount][serverCount];
            backends = new Backend[serverCount];
            freeMs = new double[serverCount][prompts ? 1 : PLAIN_SLOTS];
            slowUntilMs = new long[serverCount];
            reportedInFlight = new int[nodeCount][serverCount];
            reportedUnread = new int[nodeCount][serverCount];
            totalInFlight = new int[serverCount];
            totalUnread = new int[serverCount];
            for (int i = 0; i < serverCount; i++) {
                backends[i] = backend(i, prompts ? 48 : PLAIN_SLOTS);
                cached.add(new java.util.HashSet<>());
                known = known.put(backends[i].id(), status(backends[i], 0, 0));
            }
            candidates = new Candidates[nodeCount];
            Array<BackendId> ids = Array.of(backends).map(Backend::id);
            for (int n = 0; n < nodeCount; n++) {
                int node = n;
                candidates[n] = new Candidates(ids, id -> {
                    int server = index(id);
                    return Option.of(status(backends[server], inFlight[node][server], unread[node][server]));
                });
            }
        }

        void report(long nowMs) {
            int interval = nodes.length > 16 ? GROUPED_REPORT_MS : SMALL_REPORT_MS;
            for (int n = 0; n < nodes.length; n++) {
                if ((nowMs + n * STAGGER_MS) % interval != 0) {
                    continue;
                }
                for (int i = 0; i < backends.length; i++) {
                    totalInFlight[i] += inFlight[n][i] - reportedInFlight[n][i];
                    totalUnread[i] += unread[n][i] - reportedUnread[n][i];
                    reportedInFlight[n][i] = inFlight[n][i];
                    reportedUnread[n][i] = unread[n][i];
                }
            }
            if (nowMs % SPEED_REPORT_MS == 0) {
                totals = HashMap.empty();
                for (SpeedState node : nodes) {
                    node.timesAt(nowMs).forEach((id, t) -> totals = totals.put(id, t, ServerTimes::plus));
                }
            }
        }

        ServerTimes elsewhere(int node, BackendId id, long nowMs) {
            ServerTimes all = totals.getOrElse(id, ServerTimes.NONE);
            ServerTimes own = nodes[node]
                    .times()
                    .getOrElse(id, SpeedState.DecayingTimes.NONE)
                    .at(nowMs);
            return new ServerTimes(
                    Math.max(0, all.observedMs() - own.observedMs()), Math.max(0, all.expectedMs() - own.expectedMs()));
        }

        double speed(int server) {
            return server % 4 == 0 ? SLOW_SPEED : 1;
        }

        Event place(long nowMs, int node, long prefix, int prefixTokens, int tokens, long seed) {
            ServerEstimates estimates = ServerEstimates.standard(ZONE);
            if (learning) {
                nodes[node] = nodes[node].refreshed("model", known, id -> elsewhere(node, id, nowMs), nowMs);
                estimates = nodes[node].estimates("model", ZONE, nowMs);
            }
            RoutingContext context = new RoutingContext(
                    nowMs,
                    ZONE,
                    prompts ? List.of(prefix, seed) : List.of(),
                    SentPrefixes.EMPTY,
                    seed,
                    0,
                    b -> 1,
                    prompts ? 1_000 : PLAIN_TARGET_MS,
                    prompts
                            ? new RoutingContext.PromptLengths(tokens, List.of(prefixTokens, tokens))
                            : RoutingContext.PromptLengths.NONE,
                    b -> totalInFlight[index(b.id())] - reportedInFlight[node][index(b.id())],
                    b -> totalUnread[index(b.id())] - reportedUnread[node][index(b.id())],
                    nodes.length,
                    estimates);
            Choice choice = Router.affinity().choose(candidates[node], context).get();
            Backend backend = choice.server().backend();
            int server = index(backend.id());
            boolean idle = SpeedState.isNearlyIdle(
                    backend,
                    inFlight[node][server] + context.inFlightElsewhere().applyAsInt(backend),
                    unread[node][server] + context.unreadElsewhere().applyAsInt(backend));
            int todo = prompts && !cached.get(server).add(prefix) ? tokens - prefixTokens : tokens;
            if (slowUntilMs[server] + 4_000 < nowMs && random.nextInt(8) == 0) {
                slowUntilMs[server] = nowMs + 200 + random.nextInt(400);
            }
            double factor = (nowMs < slowUntilMs[server] ? SLOWDOWN : 1) / speed(server);
            Arrays.sort(freeMs[server]);
            double start = Math.max(nowMs, freeMs[server][0]);
            double end = start + factor * (prompts ? BASE_MS + todo / TOKENS_PER_MS : PLAIN_MS);
            freeMs[server][0] = end;
            inFlight[node][server]++;
            unread[node][server] += choice.unread();
            return new Event((long) Math.ceil(end), node, server, choice.unread(), nowMs, idle, true);
        }

        void end(Event f) {
            inFlight[f.node][f.server]--;
        }

        void firstByte(Event f, long fromMs) {
            unread[f.node][f.server] -= f.unread;
            if (f.startMs >= fromMs) {
                tookMs.add((double) f.atMs - f.startMs);
            }
            double slowdown = f.atMs < slowUntilMs[f.server] ? SLOWDOWN : 1;
            BackendReport.Load load = new BackendReport.Load(0, 0, 0, OptionalDouble.of(slowdown));
            if (learning) {
                nodes[f.node] = nodes[f.node].withReport(backends[f.server].id(), load, f.atMs);
                if (f.observed) {
                    nodes[f.node] = nodes[f.node].withObservation(
                            backends[f.server], f.unread, Math.max(1, f.atMs - f.startMs), f.atMs);
                }
            }
        }
    }

    private static int index(BackendId id) {
        return Integer.parseInt(id.value().substring(1));
    }

    private static Backend backend(int i, int slots) {
        return new Backend(
                new BackendId("s" + i),
                new Address("10.0.0.2", 1),
                ZONE,
                Backend.Kind.ENGINE,
                "model",
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                slots,
                1,
                true,
                false);
    }

    private static BackendStatus status(Backend backend, int inFlight, int unread) {
        return new BackendStatus(
                backend,
                true,
                inFlight,
                unread,
                ConcurrencyLimit.start(backend.slots(), 100),
                Health.GOOD,
                ReportedLoad.NONE,
                "",
                Long.MIN_VALUE);
    }

    private Fleet replay(int nodes, int servers, boolean prompts, boolean learning, long endMs) {
        random.setSeed(11);
        Fleet fleet = new Fleet(nodes, servers, prompts, learning);
        Random arrivals = new Random(5);
        double meanMs = prompts ? BASE_MS + 2_000 / TOKENS_PER_MS : PLAIN_MS / PLAIN_SLOTS;
        double perMs = UTILIZATION * servers * (0.75 + 0.25 * SLOW_SPEED) / meanMs;
        PriorityQueue<Event> running = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
        double nextMs = 0;
        for (long now = 0; now < endMs; now++) {
            while (!running.isEmpty() && running.peek().atMs() <= now) {
                Event event = running.remove();
                if (event.first) {
                    fleet.firstByte(event, endMs / 2);
                    running.add(new Event(
                            now + (prompts ? STREAM_MS : 0), event.node, event.server, 0, event.startMs, false, false));
                } else {
                    fleet.end(event);
                }
            }
            fleet.report(now);
            for (; nextMs <= now; nextMs -= Math.log(1 - arrivals.nextDouble()) / perMs) {
                int prefix = arrivals.nextInt(PREFIXES_PER_SERVER * servers);
                int prefixTokens = prompts ? 1_000 + 37 * (prefix % 100) : 0;
                int tokens = prompts ? prefixTokens + 200 + arrivals.nextInt(3_600) : 0;
                running.add(
                        fleet.place(now, arrivals.nextInt(nodes), prefix, prefixTokens, tokens, arrivals.nextLong()));
            }
        }
        return fleet;
    }

    private static double percentile(Fleet fleet, double fraction) {
        double[] sorted = fleet.tookMs.stream().mapToDouble(d -> d).sorted().toArray();
        return sorted[(int) (fraction * (sorted.length - 1))];
    }

    private static double mean(Fleet fleet) {
        return fleet.tookMs.stream().mapToDouble(d -> d).average().orElseThrow();
    }

    @ParameterizedTest
    @CsvSource({"8, 12, true", "60, 63, true", "370, 400, true", "8, 4, false", "60, 16, false"})
    void answersSoonerThanWithEqualSpeeds(int nodes, int servers, boolean prompts) {
        long endMs = servers > 100 ? 40_000 : 60_000;
        Fleet equal = replay(nodes, servers, prompts, false, endMs);
        Fleet learned = replay(nodes, servers, prompts, true, endMs);
        double[] speeds = new double[2];
        for (int i = 0; i < servers; i++) {
            int slow = i % 4 == 0 ? 1 : 0;
            speeds[slow] += learned.nodes[0].learnedSpeed(learned.backends[i].id())
                    / (slow == 1 ? Math.ceil(servers / 4.0) : servers - Math.ceil(servers / 4.0));
        }
        String figures =
                "%d nodes, %d servers, prompts %s: mean %.0f instead of %.0f ms, 95th %.0f instead of %.0f ms, "
                                .formatted(
                                        nodes,
                                        servers,
                                        prompts,
                                        mean(learned),
                                        mean(equal),
                                        percentile(learned, 0.95),
                                        percentile(equal, 0.95))
                        + "learned speeds %.2f and %.2f".formatted(speeds[0], speeds[1])
                        + ", rate " + learned.nodes[0].tokensPerMs("model");
        assertThat(mean(learned)).as(figures).isLessThan(mean(equal));
        assertThat(percentile(learned, 0.95)).as(figures).isLessThan(percentile(equal, 0.95));
        // Halfway between equal speeds and the true ratio, or nearer to the truth.
        assertThat(speeds[1] / speeds[0]).as(figures).isLessThan((1 + SLOW_SPEED) / 2);
    }
}
