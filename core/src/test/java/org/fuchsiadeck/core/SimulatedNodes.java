package org.fuchsiadeck.core;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.fuchsiadeck.core.claim.ClaimReducer;
import org.fuchsiadeck.core.claim.ClaimState;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.membership.MembershipEffect;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.membership.MembershipReducer;
import org.fuchsiadeck.core.membership.MembershipState;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.RequestEvent;

/**
 * Simulates the membership and claims of several nodes in virtual time. The network loses, duplicates, delays and
 * reorders messages, and calls to the key-value service fail. All random choices derive from one seed.
 */
public final class SimulatedNodes {
    /** The running nodes, by id. */
    public final TreeMap<String, Node> nodes = new TreeMap<>();

    /** Number of messages sent, by the simple name of their class. */
    public final Map<String, Integer> sentByKind = new TreeMap<>();

    /** Receives the outcomes of claims, with the node's id. */
    public BiConsumer<String, RequestEvent> requestListener = (node, event) -> {};

    public final Random random;
    public long nowMs;
    public double lossRate;
    public double duplicationRate;
    public int maxDelayMs = 5;
    public double platformFailureRate;
    public Set<String> partition = Set.of();
    public Predicate<String> platformReachable = node -> true;

    private static final int LIST_PERIOD_MS = 2_000;

    private final Configuration config;
    private final MembershipReducer membership = new MembershipReducer();
    private final ClaimReducer claims = new ClaimReducer();
    private final PriorityQueue<Delivery> queue =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
    private final Map<String, PlatformEvent.Entry> store = new HashMap<>();
    private long revision;
    private long nextOrder;
    private int startedCount;

    private record Delivery(long atMs, long order, String node, Event event) {}

    public SimulatedNodes(long seed, Configuration config) {
        this.random = new Random(seed);
        this.config = config;
    }

    /** A running node. Its monotonic clock has an offset of its own. */
    public static final class Node {
        public final Identity self;
        public MembershipState members = MembershipState.initial();
        public ClaimState claims = ClaimState.initial();
        public long pausedUntilMs;
        final long clockMs;

        Node(Identity self, long clockMs) {
            this.self = self;
            this.clockMs = clockMs;
        }
    }

    public String start(String zone) {
        String id = "n" + (char) ('a' + random.nextInt(26)) + startedCount++;
        Address address = new Address("127.0.0.1", 1_000 + startedCount);
        Node node = new Node(
                new Identity(new NodeId(id), new Zone(zone), address, random.nextLong()), random.nextInt(1_000_000));
        List<Address> seeds =
                nodes.values().stream().map(n -> n.self.peerAddress()).toList();
        nodes.put(id, node);
        post(id, 0, new LifecycleEvent.Started());
        post(id, 0, new MembershipEvent.Seeded(seeds));
        post(id, 1 + random.nextInt(LIST_PERIOD_MS), new ListReadDue());
        return id;
    }

    /** Makes all nodes read the platform's list after the delay. */
    public void scheduleListReads(long delayMs) {
        nodes.keySet().forEach(id -> post(id, delayMs, new PlatformEvent.Listed(List.of(), listedPeers())));
    }

    private record ListReadDue() implements Event {}

    private record Action(Runnable run) implements Event {}

    /** Runs an action of the test after the delay. */
    public void runLater(long delayMs, Runnable run) {
        post("", delayMs, new Action(run));
    }

    public void kill(String id) {
        nodes.remove(id);
    }

    public void post(String node, long delayMs, Event event) {
        queue.add(new Delivery(nowMs + delayMs, nextOrder++, node, event));
    }

    public void runFor(long ms) {
        long end = nowMs + ms;
        while (!queue.isEmpty() && queue.peek().atMs() <= end) {
            Delivery next = queue.remove();
            nowMs = Math.max(nowMs, next.atMs());
            deliver(next);
        }
        nowMs = end;
    }

    private void deliver(Delivery next) {
        if (next.event() instanceof Action action) {
            action.run().run();
            return;
        }
        Node node = nodes.get(next.node());
        if (node == null) {
            return;
        }
        if (node.pausedUntilMs > nowMs) {
            queue.add(new Delivery(node.pausedUntilMs, next.order(), next.node(), next.event()));
            return;
        }
        if (next.event() instanceof ListReadDue) {
            post(next.node(), LIST_PERIOD_MS, next.event());
            reduce(node, new PlatformEvent.Listed(List.of(), listedPeers()));
            return;
        }
        reduce(node, next.event());
    }

    private List<Peers.Peer> listedPeers() {
        return nodes.values().stream()
                .map(n -> new Peers.Peer(n.self.id(), n.self.peerAddress(), n.self.zone()))
                .toList();
    }

    private void reduce(Node node, Event first) {
        Queue<Event> events = new ArrayDeque<>(List.of(first));
        while (!events.isEmpty()) {
            Event event = events.remove();
            if (event instanceof RequestEvent request) {
                requestListener.accept(node.self.id().value(), request);
            }
            Step<MembershipState> membershipStep = membership.reduce(node.members, view(node), event);
            node.members = membershipStep.state();
            membershipStep.effects().forEach(e -> run(node, e, events));
            Step<ClaimState> claimStep = claims.reduce(node.claims, view(node), event);
            node.claims = claimStep.state();
            claimStep.effects().forEach(e -> run(node, e, events));
        }
    }

    private View view(Node node) {
        return new View(node.self, nowMs + node.clockMs, nowMs, config, VersionShares.NONE, node.members.peers());
    }

    private void run(Node node, Effect effect, Queue<Event> events) {
        String id = node.self.id().value();
        if (effect instanceof Effect.Raise raise) {
            events.add(raise.event());
        } else if (effect instanceof Effect.Schedule schedule) {
            post(id, Math.max(0, schedule.atMs() - node.clockMs - nowMs), schedule.event());
        } else if (effect instanceof Effect.Send send) {
            node.members.findAddress(send.to()).ifPresent(to -> transmit(node, to, send.message()));
        } else if (effect instanceof MembershipEffect.SendTo send) {
            transmit(node, send.to(), send.message());
        } else if (effect instanceof PlatformEffect call) {
            call(id, call);
        }
    }

    private void transmit(Node from, Address to, PeerMessage message) {
        sentByKind.merge(message.getClass().getSimpleName(), 1, Integer::sum);
        for (Node node : nodes.values()) {
            if (node.self.peerAddress().equals(to) && connected(from, node)) {
                int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicationRate ? 2 : 1;
                for (int i = 0; i < copies; i++) {
                    PeerReceived event = new PeerReceived(from.self.id(), message);
                    post(node.self.id().value(), 1 + random.nextInt(maxDelayMs), event);
                }
            }
        }
    }

    private boolean connected(Node a, Node b) {
        return partition.contains(a.self.id().value())
                == partition.contains(b.self.id().value());
    }

    private void call(String node, PlatformEffect call) {
        boolean reached = platformReachable.test(node);
        boolean fails = !reached || random.nextDouble() < platformFailureRate;
        boolean takesEffect = !fails || reached && random.nextInt(4) == 0;
        Event answer = takesEffect ? answer(call) : null;
        Event event = fails ? new PlatformEvent.CallFailed(call.tag(), "outage", true) : answer;
        post(node, 1 + random.nextInt(4 * maxDelayMs), event);
    }

    private Event answer(PlatformEffect call) {
        if (call instanceof PlatformEffect.Get get) {
            return new PlatformEvent.Found(call.tag(), Optional.ofNullable(store.get(get.key())), revision);
        }
        PlatformEffect.Put put = (PlatformEffect.Put) call;
        long current = store.containsKey(put.key()) ? store.get(put.key()).revision() : 0;
        if (put.expectedRevision().isPresent() && put.expectedRevision().getAsLong() != current) {
            return new PlatformEvent.Conflicted(call.tag(), current);
        }
        revision += 1 + random.nextInt(3);
        store.put(put.key(), new PlatformEvent.Entry(put.key(), Optional.of(put.value()), revision));
        return new PlatformEvent.Written(call.tag(), revision);
    }

    /** Returns whether the peers of every running node are exactly the other running nodes. */
    public boolean hasConverged() {
        Set<NodeId> all = new HashSet<>();
        nodes.values().forEach(n -> all.add(n.self.id()));
        for (Node node : nodes.values()) {
            Set<NodeId> known = new HashSet<>(node.members.peers().alive().keySet());
            known.add(node.self.id());
            if (!known.equals(all)) {
                return false;
            }
        }
        return true;
    }
}
