package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
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

import static org.assertj.core.api.Assertions.assertThat;

/** Several config reducers over a model of the platform's service, in virtual time, with seeded faults. */
final class ConfigCluster {
    private static final String[] ZONES = {"norte", "oriente", "centro", "sur"};

    final TreeMap<NodeId, Node> nodes = new TreeMap<>();
    final List<EventCode> logs = new ArrayList<>();
    long nowMs;
    int percentLost;
    int percentDuplicated;
    long maxDelayMs = 1;
    boolean outage;
    int platformCalls;
    long revision;
    private final ConfigReducer reducer = new ConfigReducer();
    private final SplittableRandom random;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::order));
    private final Map<NodeId, Peers> peers = new HashMap<>();
    private final List<PlatformEvent.Entry> history = new ArrayList<>();
    private long serviceRevision;
    private long order;
    private int started;

    ConfigCluster(long seed) {
        random = new SplittableRandom(seed);
    }

    private record Due(long atMs, long order, Runnable action) {}

    /** A node, with what it has heard of before it was ready. */
    static final class Node {
        final Identity self;
        ConfigState state = ConfigState.initial();
        final TreeMap<NodeId, Long> heard = new TreeMap<>();

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
        peers.clear();
    }

    Node any() {
        return new ArrayList<>(nodes.values()).get(random.nextInt(nodes.size()));
    }

    /** Another key changes, then the configuration is accepted. */
    void accept() {
        serviceRevision += 1 + random.nextInt(3);
        revision = serviceRevision;
        history.add(new PlatformEvent.Entry(ConfigReducer.KEY, Optional.of("v" + revision), revision));
    }

    void runFor(long ms) {
        long end = nowMs + ms;
        while (!queue.isEmpty() && queue.peek().atMs() <= end) {
            Due due = queue.remove();
            nowMs = due.atMs();
            due.action().run();
        }
        nowMs = end;
    }

    /** Runs until a revision is in force everywhere; gives the time it took, or the limit. */
    long runUntilInForce(long limitMs) {
        long begin = nowMs;
        while (nowMs - begin < limitMs && !inForceEverywhere()) {
            runFor(10);
        }
        return nowMs - begin;
    }

    boolean inForceEverywhere() {
        return nodes.values().stream().allMatch(n -> n.state.current().revision() == revision);
    }

    private void later(long delayMs, Runnable action) {
        queue.add(new Due(nowMs + delayMs, order++, action));
    }

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    private long delay() {
        return 1 + random.nextLong(maxDelayMs);
    }

    private void deliver(NodeId id, Event event) {
        Node node = nodes.get(id);
        if (node == null) {
            return;
        }
        boolean wasReady = node.state.unready().isEmpty();
        long before = node.state.current().revision();
        if (!wasReady) {
            hear(node, event);
        }
        Step<ConfigState> step = reducer.reduce(node.state, view(node), event);
        node.state = step.state();
        assertThat(node.state.current().revision()).isGreaterThanOrEqualTo(before);
        if (!wasReady && node.state.unready().isEmpty()) {
            assertThat(node.state.current().revision()).isGreaterThanOrEqualTo(Math.max(1, heardFromAlive(node)));
        }
        step.effects().forEach(e -> run(id, e));
    }

    private static void hear(Node node, Event event) {
        if (event instanceof PeerReceived p && p.message() instanceof ConfigMessage.Announce a) {
            node.heard.merge(p.from(), a.revision(), Math::max);
        }
        if (event instanceof PeerReceived p && p.message() instanceof ConfigMessage.Offer o) {
            node.heard.merge(p.from(), o.revision(), Math::max);
        }
    }

    /** The newest revision that a node has heard from a peer that is still alive. */
    private long heardFromAlive(Node node) {
        return node.heard.entrySet().stream()
                .filter(e -> nodes.containsKey(e.getKey()))
                .mapToLong(e -> e.getValue())
                .max()
                .orElse(0);
    }

    private View view(Node node) {
        Peers others = peers.computeIfAbsent(node.self.id(), this::peersOf);
        return new View(node.self, nowMs, nowMs, node.state.current(), VersionShares.NONE, others);
    }

    private Peers peersOf(NodeId self) {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        nodes.forEach((id, n) -> alive.put(id, new Peers.Peer(id, n.self.peerAddress(), n.self.zone())));
        alive.remove(self);
        return new Peers(alive);
    }

    private void run(NodeId id, Effect effect) {
        if (effect instanceof Effect.Schedule s) {
            later(s.atMs() - nowMs, () -> deliver(id, s.event()));
        } else if (effect instanceof Effect.Send s) {
            for (int copies = chance(percentDuplicated) ? 2 : 1; copies > 0 && !chance(percentLost); copies--) {
                later(delay(), () -> deliver(s.to(), new PeerReceived(id, s.message())));
            }
        } else if (effect instanceof Effect.Log log) {
            logs.add(log.code());
        } else if (effect instanceof ConfigEffect.Parse p) {
            later(1, () -> deliver(id, parsed(p)));
        } else if (effect instanceof PlatformEffect call) {
            platformCalls++;
            later(delay(), () -> serve(id, call, nowMs));
        }
    }

    private static ConfigEvent parsed(ConfigEffect.Parse p) {
        Configuration c = new Configuration(p.revision(), Policy.DEFAULT, List.of(), List.of(), List.of());
        return new ConfigEvent.Parsed(c, p.value(), p.source());
    }

    private void serve(NodeId id, PlatformEffect call, long sinceMs) {
        if (outage) {
            answer(id, new PlatformEvent.CallFailed(call.tag(), "outage", true));
        } else if (call instanceof PlatformEffect.Get get) {
            Optional<PlatformEvent.Entry> last =
                    history.isEmpty() ? Optional.empty() : Optional.of(history.get(history.size() - 1));
            answer(id, new PlatformEvent.Found(get.tag(), last, serviceRevision));
        } else if (call instanceof PlatformEffect.Watch watch) {
            List<PlatformEvent.Entry> changes = history.stream()
                    .filter(e -> e.revision() > watch.afterRevision())
                    .toList();
            if (changes.isEmpty() && nowMs - sinceMs < watch.waitMs()) {
                later(10, () -> serve(id, call, sinceMs));
            } else {
                answer(id, new PlatformEvent.Watched(watch.tag(), changes, serviceRevision, chance(percentLost / 4)));
            }
        }
    }

    /** A lost answer is a call without a result, or one that fails. */
    private void answer(NodeId id, PlatformEvent event) {
        if (!chance(percentLost)) {
            later(delay(), () -> deliver(id, event));
        } else if (chance(50)) {
            String tag = event instanceof PlatformEvent.Found f ? f.tag() : "";
            later(delay(), () -> deliver(id, new PlatformEvent.CallFailed(tag, "lost", true)));
        }
    }
}
