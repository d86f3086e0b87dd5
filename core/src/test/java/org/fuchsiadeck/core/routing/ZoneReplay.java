package org.fuchsiadeck.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;

import io.vavr.collection.Array;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;

/**
 * Replays demand of four zones through the router and the spillover of every node. Each node sees its own attempts now,
 * and those of the others in sums that are 0.5 to 2 s old.
 */
final class ZoneReplay {
    static final int ZONES = 4;
    private static final int QUEUE_LIMIT = 33;
    private static final int SHARED_TOKENS = 8_000;
    private static final int PREFIXES = 48;
    private static final int MIN_OWN_TOKENS = 2_000;
    private static final int OWN_TOKENS_RANGE = 7_000;
    private static final double GENERATE_MS = 400;
    private static final int MAX_TOKENS = 120;
    private static final long SUM_EVERY_MS = 500;
    private static final long SEED = 29;

    final List<Answer> answers = new ArrayList<>();
    /** The fraction that leaves the zone of each node, every 100 ms. */
    final List<double[]> fractions = new ArrayList<>();

    private final Engines engines;
    private final int nodes;
    private final boolean spilling;
    private final List<Server> servers = new ArrayList<>();
    private final Array<BackendId> ids;
    private final ZoneSpill[] spills;
    private final SentPrefixes[] sent;
    private final int[][] ownAttempts;
    private final int[][] ownUnread;
    private final Deque<Sums> sums = new ArrayDeque<>();
    private final PriorityQueue<Change> changes = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
    private long draws;
    /** Whether reports of other nodes reach a node, by node and time. */
    BiPredicate<Integer, Long> reporting = (n, t) -> true;
    /** Whether a zone's servers are up, by zone and time. */
    BiPredicate<Integer, Long> up = (z, t) -> true;

    /**
     * The engines of a deployment.
     *
     * @param slots the requests that each processes at a time
     * @param tokensPerMs the prompt tokens that each processes per millisecond
     * @param targetMs the time to first token that callers expect, in milliseconds
     * @param roundTripMs the network round trip between zones, in milliseconds
     */
    record Engines(int slots, double tokensPerMs, long targetMs, double roundTripMs) {
        /** Scarce capacity: prompts of priority 1. */
        static final Engines SCARCE = new Engines(16, 112, 500, 2.8);

        /** Heterogeneous servers and uneven demand. */
        static final Engines UNEVEN = new Engines(48, 50.7, 1_000, 1);

        /** Returns a mean request's time at one server and its transfer, in ms: zones may differ by this unlevelled. */
        double requestMs() {
            return (SHARED_TOKENS + MIN_OWN_TOKENS + OWN_TOKENS_RANGE / 2.0) / tokensPerMs + 20;
        }
    }

    /**
     * One answered or rejected request.
     *
     * @param atMs its arrival, in milliseconds
     * @param from the zone of its node
     * @param to the zone of its server
     * @param firstMs the time to the first token, in milliseconds; infinite if it was rejected
     * @param recomputed tokens of its shared prefix that were processed
     */
    record Answer(long atMs, int from, int to, double firstMs, int recomputed) {}

    private record Sums(long atMs, int[] attempts, int[] unread, int[][] own, int[][] ownUnread) {}

    private record Change(double atMs, int node, int server, int attempts, int unread) {}

    private final class Server {
        final Backend backend;
        final int zone;
        final Set<Integer> cached = new HashSet<>();
        final PriorityQueue<Double> ends = new PriorityQueue<>();
        double readerFreeMs;
        int attempts;
        int unread;

        Server(int index, int zone) {
            this.zone = zone;
            this.backend = new Backend(
                    new BackendId("s" + index),
                    new Address("10.0.0.2", 1),
                    zone(zone),
                    Backend.Kind.ENGINE,
                    "model",
                    "v1",
                    Set.of(),
                    Set.of(),
                    Set.of(),
                    engines.slots(),
                    1,
                    true,
                    false);
        }

        /** Returns when the request's prompt is processed; the server admits requests in the order of arrival. */
        double readEndMs(double nowMs, int tokens) {
            while (ends.size() >= engines.slots()) {
                double freeMs = ends.poll();
                readerFreeMs = Math.max(readerFreeMs, freeMs);
            }
            readerFreeMs = Math.max(readerFreeMs, nowMs) + tokens / engines.tokensPerMs();
            ends.add(readerFreeMs + GENERATE_MS);
            return readerFreeMs;
        }
    }

    ZoneReplay(Engines engines, int nodes, int serverCount, boolean spilling) {
        this.engines = engines;
        this.nodes = nodes;
        this.spilling = spilling;
        for (int i = 0; i < serverCount; i++) {
            servers.add(new Server(i, i % ZONES));
        }
        ids = Array.ofAll(servers).map(s -> s.backend.id());
        spills = new ZoneSpill[nodes];
        sent = new SentPrefixes[nodes];
        ownAttempts = new int[nodes][serverCount];
        ownUnread = new int[nodes][serverCount];
        for (int i = 0; i < nodes; i++) {
            restart(i);
        }
    }

    static Zone zone(int index) {
        return new Zone("z" + index);
    }

    /** Makes a node forget its decisions and what it knows of the others. */
    void restart(int node) {
        spills[node] = ZoneSpill.initial(zone(node % ZONES));
        sent[node] = SentPrefixes.EMPTY;
    }

    ZoneSpill spill(int node) {
        return spills[node];
    }

    /** Requests of a zone per millisecond that its servers can read if every second shared prefix is cached. */
    double capacity() {
        double meanTokens = MIN_OWN_TOKENS + OWN_TOKENS_RANGE / 2.0 + SHARED_TOKENS / 2.0;
        return servers.size() / (double) ZONES * engines.tokensPerMs() / meanTokens;
    }

    private double draw() {
        return SplitMix.toFraction(SplitMix.draw(SEED, draws++));
    }

    /** Replays a time with a demand by zone, as a multiple of the capacity of its servers. */
    void run(long fromMs, long toMs, double... demand) {
        double[] next = new double[ZONES];
        for (int z = 0; z < ZONES; z++) {
            next[z] = fromMs + interval(demand[z]);
        }
        for (long now = fromMs; now < toMs; now++) {
            while (!changes.isEmpty() && changes.peek().atMs <= now) {
                apply(changes.poll());
            }
            if (now % SUM_EVERY_MS == 0) {
                takeSums(now);
            }
            if (now % 100 == 0) {
                fractions.add(IntStream.range(0, nodes)
                        .mapToDouble(n -> spills[n].fraction())
                        .toArray());
            }
            for (int z = 0; z < ZONES; z++) {
                for (; next[z] < now + 1; next[z] += interval(demand[z])) {
                    send(now, z);
                }
            }
        }
    }

    private double interval(double demand) {
        return -Math.log(1 - draw()) / (demand * capacity());
    }

    private void apply(Change change) {
        ownAttempts[change.node][change.server] += change.attempts;
        ownUnread[change.node][change.server] += change.unread;
        servers.get(change.server).attempts += change.attempts;
        servers.get(change.server).unread += change.unread;
    }

    private void takeSums(long now) {
        int[] attempts = servers.stream().mapToInt(s -> s.attempts).toArray();
        int[] unread = servers.stream().mapToInt(s -> s.unread).toArray();
        int[][] own = Arrays.stream(ownAttempts).map(int[]::clone).toArray(int[][]::new);
        int[][] ownTokens = Arrays.stream(ownUnread).map(int[]::clone).toArray(int[][]::new);
        sums.addFirst(new Sums(now, attempts, unread, own, ownTokens));
        while (sums.size() > 6) {
            sums.removeLast();
        }
    }

    /** Returns the newest sums that have reached a node: 500 to 1,500 ms after they were taken. */
    private Option<Sums> sumsAt(int node, long now) {
        long delayMs = SUM_EVERY_MS + SplitMix.below(SplitMix.mix(node), 1_000);
        return Option.ofOptional(sums.stream()
                .filter(s -> s.atMs <= now - delayMs && reporting.test(node, now))
                .findFirst());
    }

    private void send(long now, int zone) {
        int perZone = nodes / ZONES;
        int spare = zone < nodes % ZONES ? 1 : 0;
        int node = zone + ZONES * (int) (draw() * (perZone + spare));
        int prefix = (int) (draw() * PREFIXES);
        int tokens = SHARED_TOKENS + MIN_OWN_TOKENS + (int) (draw() * OWN_TOKENS_RANGE);
        long seed = SplitMix.draw(SEED + 1, draws++);
        Option<Sums> seen = sumsAt(node, now);
        ServerEstimates base = new ServerEstimates(
                engines.tokensPerMs(),
                b -> 1,
                ServerEstimates.standard(zone(zone)).zoneCostMs());
        ServerEstimates estimates = base;
        if (spilling) {
            ZoneSpill.Traits traits = ZoneSpill.Traits.of(tokens, tokens, MAX_TOKENS);
            if (spills[node].isDue(now)) {
                spills[node] = spills[node].update(now, loads(node, now, seen), seen.isDefined(), traits);
            }
            estimates = spills[node].estimates(base, seed, traits.transferMs());
        }
        List<Long> prefixes = List.of(1_000L + prefix, SplitMix.mix(draws));
        RoutingContext context = new RoutingContext(
                now,
                zone(zone),
                prefixes,
                sent[node],
                seed,
                draws,
                b -> 1,
                engines.targetMs(),
                new RoutingContext.PromptLengths(tokens, List.of(SHARED_TOKENS, tokens)),
                b -> elsewhere(seen, node, index(b), false),
                b -> elsewhere(seen, node, index(b), true),
                nodes,
                estimates);
        Candidates candidates =
                new Candidates(ids, id -> Option.some(status(node, id)).filter(s -> isUp(index(s.backend()), now)));
        Router.affinity().choose(candidates, context).forEach(c -> dispatch(now, node, prefix, tokens, prefixes, c));
    }

    private void dispatch(long now, int node, int prefix, int tokens, List<Long> prefixes, Choice choice) {
        int index = index(choice.server().backend());
        Server server = servers.get(index);
        int from = node % ZONES;
        if (server.attempts >= engines.slots() + QUEUE_LIMIT) {
            answers.add(new Answer(now, from, server.zone, Double.POSITIVE_INFINITY, 0));
            return;
        }
        sent[node] = sent[node].withSent(prefixes, choice.server().backend().id());
        int recomputed = server.cached.add(prefix) ? SHARED_TOKENS : 0;
        double readEnd = server.readEndMs(now, tokens - SHARED_TOKENS + recomputed);
        apply(new Change(now, node, index, 1, choice.unread()));
        changes.add(new Change(readEnd, node, index, 0, -choice.unread()));
        changes.add(new Change(readEnd + GENERATE_MS, node, index, -1, 0));
        double wayMs = server.zone == from ? 0 : engines.roundTripMs();
        answers.add(new Answer(now, from, server.zone, readEnd - now + wayMs, recomputed));
    }

    private boolean isUp(int server, long now) {
        return up.test(servers.get(server).zone, now);
    }

    private static int index(Backend backend) {
        return Integer.parseInt(backend.id().value().substring(1));
    }

    private static int elsewhere(Option<Sums> seen, int node, int server, boolean unread) {
        return seen.map(s -> unread
                        ? s.unread[server] - s.ownUnread[node][server]
                        : s.attempts[server] - s.own[node][server])
                .getOrElse(0);
    }

    private BackendStatus status(int node, BackendId id) {
        int index = Integer.parseInt(id.value().substring(1));
        return BackendStatus.initial(servers.get(index).backend, engines.slots())
                .plusAttempts(ownAttempts[node][index])
                .plusUnread(ownUnread[node][index]);
    }

    private SortedMap<Zone, ZoneLoad> loads(int node, long now, Option<Sums> seen) {
        SortedMap<Zone, ZoneLoad> loads = TreeMap.empty();
        for (int i = 0; i < servers.size(); i++) {
            if (isUp(i, now)) {
                Zone zone = zone(servers.get(i).zone);
                loads = loads.put(
                        zone,
                        loads.getOrElse(zone, ZoneLoad.empty(zone))
                                .plus(
                                        status(node, ids.get(i)),
                                        elsewhere(seen, node, i, false),
                                        elsewhere(seen, node, i, true),
                                        engines.tokensPerMs(),
                                        GENERATE_MS));
            }
        }
        return loads;
    }

    List<Answer> answers(long fromMs, long toMs, int zone) {
        return answers.stream()
                .filter(a -> a.atMs >= fromMs && a.atMs < toMs && (zone < 0 || a.from == zone))
                .toList();
    }

    /** Returns the share of requests that left their zone. */
    double left(long fromMs, long toMs, int zone) {
        List<Answer> all = answers(fromMs, toMs, zone);
        return all.stream().filter(a -> a.from != a.to).count() / (double) all.size();
    }

    /** Returns a quantile of the time to the first token, in milliseconds. */
    double firstMs(long fromMs, long toMs, int zone, double quantile) {
        double[] sorted = answers(fromMs, toMs, zone).stream()
                .mapToDouble(Answer::firstMs)
                .sorted()
                .toArray();
        return sorted[(int) (quantile * (sorted.length - 1))];
    }
}
