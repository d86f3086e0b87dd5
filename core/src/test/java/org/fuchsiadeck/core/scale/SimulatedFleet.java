package org.fuchsiadeck.core.scale;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.NodeReducer;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.desk.RolloutOrderCodec;
import org.fuchsiadeck.core.directory.BackendDecoder;
import org.fuchsiadeck.core.duty.DutyEffect;
import org.fuchsiadeck.core.duty.DutyRules;
import org.fuchsiadeck.core.membership.MembershipEffect;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.rollout.RolloutOrder;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareSum;

/** Runs the reducers of many nodes in virtual time, and counts their messages, platform calls and log lines. */
final class SimulatedFleet {
    /** The messages sent by all nodes, by type. */
    final TreeMap<String, Integer> messages = new TreeMap<>();

    /** The usage reported to the platform, by usage window. */
    final TreeMap<Long, Map<TeamId, Long>> reportedUsage = new TreeMap<>();

    /** The sums sent, by node. */
    final TreeMap<String, Integer> sums = new TreeMap<>();

    /** The platform calls of all nodes, by kind. */
    final TreeMap<String, Integer> calls = new TreeMap<>();

    final TreeMap<String, Integer> logLines = new TreeMap<>();

    /** The time spent in reducers, in nanoseconds, by kind of event. */
    final TreeMap<String, Long> nanos = new TreeMap<>();

    final TreeMap<String, Integer> events = new TreeMap<>();
    final TreeMap<String, NodeState> nodes = new TreeMap<>();
    final SimulatedStore store = new SimulatedStore();
    long nowMs = 1_000;

    /** Runs the attempts of all nodes. */
    BiConsumer<String, RequestEffect.Dispatch> servers = (node, dispatch) -> {};

    private static final ShareRules SHARE_RULES = new ShareRules(8_000, 0.1, 190_000, 10_000, 0.2, 230, 5_000);
    private static final DutyRules DUTY_RULES = new DutyRules(3_000, 5_000, 10_000);
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final int ZONES = 6;

    private final Random random;
    private final NodeReducer reducer = NodeReducer.forPlatform(Router.affinity(), SimulatedFleet::decode, orderForm());
    private final Map<Address, String> addresses = new TreeMap<>(Comparator.comparing(Address::toString));
    private final PriorityQueue<Delivery> queue =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
    private final Set<String> separated = new HashSet<>();
    private double lossRate;
    private long delayMs;
    private long order;

    private record Delivery(long atMs, long order, String node, Event event) {}

    SimulatedFleet(long seed, int count) {
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            start("front-" + i);
        }
    }

    void start(String id) {
        Address address = new Address("10.0.0.1", 1 + addresses.size());
        addresses.put(address, id);
        Identity self = new Identity(new NodeId(id), zone(id), address, random.nextLong());
        nodes.put(id, NodeState.initial(self, SHARE_RULES, DUTY_RULES));
        post(id, random.nextInt(300), new LifecycleEvent.Started());
    }

    void kill(String id) {
        nodes.remove(id);
        queue.removeIf(d -> d.node().equals(id));
    }

    /** Delays all messages, as slow nodes do, in milliseconds. */
    void setDelay(long ms) {
        delayMs = ms;
    }

    /** Loses all messages between the given nodes and the others. */
    void separate(Set<String> ids) {
        separated.addAll(ids);
    }

    /** Lets messages between all nodes arrive again. */
    void reunite() {
        separated.clear();
    }

    /** Activates a configuration that contains only a team on all nodes. */
    void configure(Team team) {
        configure(new Configuration(1, Configuration.NONE.defaults(), List.of(), List.of(), List.of(team)));
    }

    /** Activates a configuration on all nodes. */
    void configure(Configuration config) {
        nodes.keySet().forEach(id -> post(id, 0, new ConfigEvent.Parsed(config, "", "operator")));
    }

    /** Sets the fraction of messages that are lost. */
    void setLossRate(double rate) {
        lossRate = rate;
    }

    void post(String node, long delayMs, Event event) {
        queue.add(new Delivery(nowMs + delayMs, order++, node, event));
    }

    void runFor(long ms) {
        long end = nowMs + ms;
        while (!queue.isEmpty() && queue.peek().atMs() <= end) {
            Delivery next = queue.remove();
            if (next.atMs() > nowMs) {
                nowMs = next.atMs();
                store.tick(nowMs);
            }
            if (nodes.containsKey(next.node())) {
                reduce(next.node(), next.event());
            }
        }
        nowMs = end;
    }

    void clearCounts() {
        messages.clear();
        calls.clear();
        logLines.clear();
        nanos.clear();
        events.clear();
    }

    private void reduce(String id, Event event) {
        long startNs = System.nanoTime();
        Step<NodeState> step = reducer.reduce(nodes.get(id), nowMs, WALL_MS + nowMs, event);
        String kind = event instanceof PeerReceived received
                ? "received " + received.message().getClass().getSimpleName()
                : event.getClass().getName().replaceAll(".*\\.", "");
        nanos.merge(kind, System.nanoTime() - startNs, Long::sum);
        events.merge(kind, 1, Integer::sum);
        nodes.put(id, step.state());
        step.effects().forEach(e -> run(id, e));
    }

    private void run(String id, Effect effect) {
        if (effect instanceof Effect.Schedule schedule) {
            post(id, Math.max(0, schedule.atMs() - nowMs), schedule.event());
        } else if (effect instanceof Effect.Send send) {
            nodes.get(id).members().findAddress(send.to()).ifPresent(to -> transmit(id, to, send.message()));
        } else if (effect instanceof MembershipEffect.SendTo send) {
            transmit(id, send.to(), send.message());
        } else if (effect instanceof PlatformEffect call) {
            calls.merge(call.getClass().getSimpleName() + " " + call.tag().replaceAll("[0-9]+", ""), 1, Integer::sum);
            store.call(nowMs, id, call, event -> post(id, 4 + random.nextInt(3), event));
        } else if (effect instanceof RequestEffect.Dispatch dispatch) {
            servers.accept(id, dispatch);
        } else if (effect instanceof DutyEffect.ReportUsage report) {
            reportedUsage.putIfAbsent(report.window(), report.counts());
        } else if (effect instanceof Effect.Log log) {
            logLines.merge(log.code().name(), 1, Integer::sum);
        }
    }

    private void transmit(String from, Address to, org.fuchsiadeck.core.PeerMessage message) {
        messages.merge(message.getClass().getSimpleName(), 1, Integer::sum);
        if (message instanceof ShareSum) {
            sums.merge(from, 1, Integer::sum);
        }
        String id = addresses.get(to);
        boolean cut = id != null && separated.contains(from) != separated.contains(id);
        if (id != null && !cut && random.nextDouble() >= lossRate) {
            post(id, delayMs + 1 + random.nextInt(2), new PeerReceived(new NodeId(from), message));
        }
    }

    static Zone zone(String id) {
        return new Zone("z" + Math.floorMod(id.hashCode(), ZONES));
    }

    private static Either<String, BackendDecoder.BackendEntry> decode(String id, String value) {
        Backend backend = new Backend(
                new BackendId(id),
                new Address("10.0.0.2", 1),
                zone(id),
                Backend.Kind.ENGINE,
                "model",
                "v1",
                Set.of("m"),
                Set.of(),
                Set.of(),
                value.matches("[0-9]+") ? Integer.parseInt(value) : 12,
                1,
                true,
                value.equals("leaving"));
        return Either.right(new BackendDecoder.BackendEntry(backend, OptionalLong.empty()));
    }

    private static RolloutOrderCodec orderForm() {
        return new RolloutOrderCodec() {
            @Override
            public Either<String, RolloutOrder> parseOrder(String value, long number) {
                return Either.left("none");
            }

            @Override
            public String serializeStatus(String target, RolloutStatus standing) {
                return target;
            }
        };
    }
}
