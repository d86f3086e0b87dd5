package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.Position;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the configuration reducers of several nodes and the platform's key-value service in virtual time, with
 * faults from a seeded generator. On every event it asserts that no node's revision goes back, and that a node becomes
 * ready only with a configuration at least as new as any that a live peer has reported to it.
 */
final class ConfigCluster {
    /** Time between looks at the proof that a request waits for. */
    private static final long LOOK_INTERVAL_MS = 10;

    private static final String[] ZONES = {"norte", "oriente", "centro", "sur"};
    static final int ZONE_COUNT = ZONES.length;

    final TreeMap<NodeId, Node> nodes = new TreeMap<>();
    final List<EventCode> logs = new ArrayList<>();
    long nowMs;
    int lossPercent;
    int duplicatePercent;
    long maxDelayMs = 1;
    boolean outage;

    /** Whether nodes go on taking stopped ones for alive, as they do for some seconds. */
    boolean staleViews;

    /** Whether the service never answers watches that are sent from now on, as over broken connections. */
    boolean silentWatches;

    /** Nodes that reach neither the service nor other nodes. */
    final Set<NodeId> cutOff = new HashSet<>();

    /** Nodes whose calls the service refuses. */
    final Set<NodeId> turnedAway = new HashSet<>();

    /** What became of the requests for which the configuration in force has no route. */
    final List<Decision> decisions = new ArrayList<>();

    int platformCalls;

    /** The position of the newest configuration in the service. */
    long revision;

    /** The version of the newest configuration that was published. */
    long version;

    private long era;
    private final ConfigReducer reducer = new ConfigReducer();
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMs).thenComparingLong(ScheduledAction::order));
    private final Map<NodeId, Peers> peers = new HashMap<>();
    private final List<PlatformEvent.Entry> history = new ArrayList<>();
    private final TreeMap<Long, Long> publishedMs = new TreeMap<>();
    private long serviceRevision;
    private long order;
    private int started;

    ConfigCluster(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * The end of a request for which the configuration in force has no route.
     *
     * @param arrivedMs when it arrived
     * @param decidedMs when it was decided
     * @param refused whether it was refused for good, rather than with the advice to come back
     * @param replacedMs for how long the configuration that decided had been replaced as the request arrived; 0 if it had not
     */
    record Decision(long arrivedMs, long decidedMs, boolean refused, long replacedMs) {}

    private record ScheduledAction(long atMs, long order, Runnable action) {}

    /** A configuration that a peer has. */
    private record Report(long revision, long version) {
        Report newer(Report other) {
            return Configuration.isNewer(other.revision, other.version, revision, version) ? other : this;
        }
    }

    /** A node, with the newest configuration that each peer reported before the node was ready. */
    static final class Node {
        final Identity self;
        ConfigState state = ConfigState.initial();
        final TreeMap<NodeId, Report> reports = new TreeMap<>();

        /** The time until which the event loop handles nothing, as on a node without processor time. */
        long stalledUntilMs;

        Node(Identity self) {
            this.self = self;
        }
    }

    Node start() {
        String zone = ZONES[started % ZONES.length];
        NodeId id = new NodeId(zone + "-" + started++);
        Node node = new Node(new Identity(id, new Zone(zone), new Address("127.0.0.1", 1), random.nextLong()));
        nodes.put(id, node);
        peers.clear();
        deliver(id, new LifecycleEvent.Started());
        return node;
    }

    void stop(NodeId id) {
        nodes.remove(id);
        if (!staleViews) {
            peers.clear();
        }
    }

    /** Stops the nodes of each zone that watch the key; the others do not know it yet. */
    void stopWatchersUnnoticed() {
        staleViews = true;
        List<NodeId> watchers = nodes.values().stream()
                .filter(n -> Watchers.includes(n.self, view(n).peers()))
                .map(n -> n.self.id())
                .toList();
        watchers.forEach(this::stop);
    }

    Node randomNode() {
        return new ArrayList<>(nodes.values()).get(random.nextInt(nodes.size()));
    }

    /** Publishes a new configuration, with a revision that skips up to two, as other keys change too. */
    void publishRevision() {
        version++;
        publishedMs.put(version, nowMs);
        write("v" + version);
    }

    private void write(String value) {
        serviceRevision += 1 + random.nextInt(3);
        revision = serviceRevision;
        history.add(new PlatformEvent.Entry(ConfigReducer.KEY, Optional.of(value), revision));
    }

    /** Takes the service back to the state before its last changes, in a new era. */
    void restore(int lostChanges) {
        era++;
        List<PlatformEvent.Entry> kept = List.copyOf(history.subList(0, history.size() - lostChanges));
        history.clear();
        kept.forEach(e -> history.add(
                new PlatformEvent.Entry(e.key(), e.value(), Position.of(era, Position.revision(e.revision())))));
        revision = history.get(history.size() - 1).revision();
        serviceRevision = revision;
    }

    /** Writes the newest configuration again, as operators do after a return. */
    void publishAgain() {
        write("v" + version);
    }

    void runFor(long ms) {
        long end = nowMs + ms;
        while (!queue.isEmpty() && queue.peek().atMs() <= end) {
            ScheduledAction next = queue.remove();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = end;
    }

    /** Runs until all nodes have applied the newest revision. Returns the elapsed time, or about the limit. */
    long runUntilApplied(long limitMs) {
        long begin = nowMs;
        while (nowMs - begin < limitMs && !isAppliedEverywhere()) {
            runFor(10);
        }
        return nowMs - begin;
    }

    boolean isAppliedEverywhere() {
        return nodes.values().stream().allMatch(n -> n.state.current().version() == version);
    }

    /** Sends a request to a node whose configuration has no route for it. */
    void request(NodeId id) {
        Node node = nodes.get(id);
        if (node.state.proofFor(nowMs, nowMs) == ConfigState.Proof.AWAITED) {
            deliver(id, new ConfigEvent.ProofWanted(nowMs));
        }
        decide(id, nowMs);
    }

    private void decide(NodeId id, long arrivedMs) {
        Node node = nodes.get(id);
        if (node == null || node.state.current().revision() == 0) {
            return;
        }
        ConfigState.Proof proof = node.state.proofFor(arrivedMs, nowMs);
        if (proof == ConfigState.Proof.AWAITED) {
            schedule(LOOK_INTERVAL_MS, () -> decide(id, arrivedMs));
            return;
        }
        boolean refused = proof == ConfigState.Proof.GIVEN;
        decisions.add(new Decision(arrivedMs, nowMs, refused, replacedMs(node, arrivedMs)));
    }

    private long replacedMs(Node node, long arrivedMs) {
        Map.Entry<Long, Long> successor =
                publishedMs.higherEntry(node.state.current().version());
        return successor == null ? 0 : Math.max(0, arrivedMs - successor.getValue());
    }

    private void schedule(long delayMs, Runnable action) {
        queue.add(new ScheduledAction(nowMs + delayMs, order++, action));
    }

    private boolean occurs(int percent) {
        return random.nextInt(100) < percent;
    }

    private long randomDelayMs() {
        return 1 + random.nextLong(maxDelayMs);
    }

    private void deliver(NodeId id, Event event) {
        Node node = nodes.get(id);
        if (node == null) {
            return;
        }
        if (node.stalledUntilMs > nowMs) {
            schedule(node.stalledUntilMs - nowMs, () -> deliver(id, event));
            return;
        }
        boolean wasReady = node.state.unready().isEmpty();
        Configuration before = node.state.current();
        if (!wasReady) {
            recordReportedRevision(node, event);
        }
        Step<ConfigState> step = reducer.reduce(node.state, view(node), event);
        node.state = step.state();
        Configuration after = node.state.current();
        assertThat(before.isNewerThan(after)).isFalse();
        if (!wasReady && node.state.unready().isEmpty()) {
            assertThat(after.revision()).isPositive();
            assertThat(reportsOfLivePeers(node))
                    .noneMatch(
                            r -> Configuration.isNewer(r.revision(), r.version(), after.revision(), after.version()));
        }
        step.effects().forEach(e -> run(id, e));
    }

    private static void recordReportedRevision(Node node, Event event) {
        if (event instanceof PeerReceived p && p.message() instanceof ConfigMessage.Announce a) {
            node.reports.merge(p.from(), new Report(a.revision(), a.version()), Report::newer);
        }
        if (event instanceof PeerReceived p && p.message() instanceof ConfigMessage.Offer o) {
            node.reports.merge(p.from(), new Report(o.revision(), versionOf(o.value())), Report::newer);
        }
    }

    /** Returns the newest configuration that each peer which is still alive has reported to a node. */
    private List<Report> reportsOfLivePeers(Node node) {
        return node.reports.entrySet().stream()
                .filter(e -> nodes.containsKey(e.getKey()))
                .map(Map.Entry::getValue)
                .toList();
    }

    private View view(Node node) {
        Peers otherNodes = peers.computeIfAbsent(node.self.id(), this::livePeers);
        return new View(node.self, nowMs, nowMs, node.state.current(), VersionShares.NONE, otherNodes);
    }

    private Peers livePeers(NodeId self) {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        nodes.forEach((id, n) -> alive.put(id, new Peers.Peer(id, n.self.peerAddress(), n.self.zone())));
        alive.remove(self);
        return new Peers(alive);
    }

    private void run(NodeId id, Effect effect) {
        if (effect instanceof Effect.Schedule s) {
            schedule(s.atMs() - nowMs, () -> deliver(id, s.event()));
        } else if (effect instanceof Effect.Send s) {
            if (cutOff.contains(id) || cutOff.contains(s.to())) {
                return;
            }
            for (int copies = occurs(duplicatePercent) ? 2 : 1; copies > 0 && !occurs(lossPercent); copies--) {
                schedule(randomDelayMs(), () -> deliver(s.to(), new PeerReceived(id, s.message())));
            }
        } else if (effect instanceof Effect.Log log) {
            logs.add(log.code());
        } else if (effect instanceof ConfigEffect.Parse p) {
            schedule(1, () -> deliver(id, parse(p)));
        } else if (effect instanceof PlatformEffect call) {
            platformCalls++;
            schedule(randomDelayMs(), () -> runPlatformCall(id, call, nowMs));
        }
    }

    private static long versionOf(String value) {
        return Long.parseLong(value.substring(1));
    }

    private static ConfigEvent parse(ConfigEffect.Parse p) {
        Configuration configuration = new Configuration(
                p.revision(),
                versionOf(p.value()),
                Policy.DEFAULT,
                List.of(),
                List.of(),
                List.of(),
                CallerRules.NONE,
                List.of());
        return new ConfigEvent.Parsed(configuration, p.value(), p.source());
    }

    private void runPlatformCall(NodeId id, PlatformEffect call, long startedMs) {
        if (cutOff.contains(id) || silentWatches && call instanceof PlatformEffect.Watch w && w.waitMs() > 0) {
            return;
        }
        if (outage || turnedAway.contains(id)) {
            deliverResult(id, new PlatformEvent.CallFailed(call.tag(), "outage", true));
        } else if (call instanceof PlatformEffect.Get get) {
            Optional<PlatformEvent.Entry> current =
                    history.isEmpty() ? Optional.empty() : Optional.of(history.get(history.size() - 1));
            deliverResult(id, new PlatformEvent.Found(get.tag(), current, serviceRevision));
        } else if (call instanceof PlatformEffect.Watch watch) {
            List<PlatformEvent.Entry> changes = history.stream()
                    .filter(e -> e.revision() > watch.afterRevision())
                    .toList();
            if (Position.era(watch.afterRevision()) != era) {
                deliverResult(id, new PlatformEvent.Watched(watch.tag(), List.of(), serviceRevision, true));
            } else if (changes.isEmpty() && nowMs - startedMs < watch.waitMs()) {
                schedule(10, () -> runPlatformCall(id, call, startedMs));
            } else {
                deliverResult(
                        id, new PlatformEvent.Watched(watch.tag(), changes, serviceRevision, occurs(lossPercent / 4)));
            }
        }
    }

    /** Delivers the result of a call. A lost one is not delivered, or reported as a failed call. */
    private void deliverResult(NodeId id, PlatformEvent event) {
        if (!occurs(lossPercent)) {
            schedule(randomDelayMs(), () -> deliver(id, event));
        } else if (occurs(50)) {
            String tag = event instanceof PlatformEvent.Found f ? f.tag() : "";
            schedule(randomDelayMs(), () -> deliver(id, new PlatformEvent.CallFailed(tag, "lost", true)));
        }
    }
}
