package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a quota that is exceeded, or not used up, while a team sends six times its usual load through all
 * nodes. Nodes decide concurrently, on reports that arrive up to 300 ms late, about requests of very different sizes.
 */
class QuotaUnderPressureTest {
    private static final TeamId TEAM = new TeamId("t");
    private static final double RATE = 180_000;
    private static final Quota QUOTA = new Quota(RATE, 2 * RATE, true, 200);
    private static final long WINDOW_MS = 8_000;
    private static final double OVERAGE = 0.1;
    private static final double SLACK = 140_000;
    private static final ShareRules RULES = new ShareRules(WINDOW_MS, OVERAGE, SLACK, 10_000, 0.2, 20, 5_000);
    private static final double WINDOW_QUOTA = RATE * WINDOW_MS / 1_000 + 2 * RATE;
    private static final double MAX_UNITS = WINDOW_QUOTA * (1 + OVERAGE) + SLACK;

    /** The units that a team with sufficient demand must get in a window: its rate. */
    private static final double MIN_UNITS = RATE * WINDOW_MS / 1_000;

    private static final Configuration CONFIG =
            new Configuration(1, Policy.DEFAULT, List.of(), List.of(), List.of(new Team(TEAM, 1, 0, QUOTA)));

    private static final long OVERLOAD_START_MS = 9_000;

    /** The time in which the burst is spent and all nodes have heard of it, in milliseconds. */
    private static final long ONSET_MS = 2_000;

    private static final long PACE_WINDOW_MS = 2_000;
    private static final int MANY_REQUESTS = 20;

    /** The part of its rate that a paced team must get in each short window. */
    private static final double MIN_PACE = 0.5;

    private static final double OVERLOAD_FACTOR = 6;

    /** The usual load over all nodes, in tokens per second. */
    private static final double USUAL_UNITS_PER_S = 100_000;

    private final Map<NodeId, ShareState> states = new TreeMap<>();
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>((a, b) -> Long.compare(a.atMs, b.atMs));
    private final ShareReducer reducer = new ShareReducer();
    private final List<Admitted> admitted = new ArrayList<>();
    private int nodes = 7;
    private long endMs = 30_000;
    private boolean paced;

    /** Requests are smaller by this factor and more frequent, so that short windows hold enough of them. */
    private int smaller = 1;

    /** An event scheduled for a node, or a request of the team if the event is empty. */
    private record Scheduled(long atMs, NodeId node, Optional<Event> event) {}

    private record Admitted(long atMs, long units) {}

    private View view(NodeId self, long nowMs) {
        TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
        states.keySet().stream().filter(n -> !n.equals(self)).forEach(n -> others.put(n, peer(n)));
        Identity identity = new Identity(self, new Zone("z"), new Address("10.0.0.1", 1), 1);
        return new View(identity, nowMs, 1_000_000_000L + nowMs, CONFIG, VersionShares.NONE, new Peers(others));
    }

    private static Peers.Peer peer(NodeId id) {
        return new Peers.Peer(id, new Address("10.0.0.1", 1), new Zone("z"));
    }

    private void deliver(NodeId node, long nowMs, Event event, Random random) {
        Step<ShareState> step = reducer.reduce(states.get(node), view(node, nowMs), event);
        states.put(node, step.state());
        for (Effect effect : step.effects()) {
            if (effect instanceof Effect.Send send) {
                long atMs = nowMs + 2 + random.nextInt(300);
                queue.add(new Scheduled(atMs, send.to(), Optional.of(new PeerReceived(node, send.message()))));
            } else if (effect instanceof Effect.Schedule schedule) {
                queue.add(new Scheduled(schedule.atMs() + random.nextInt(50), node, Optional.of(schedule.event())));
            }
        }
    }

    private static long randomUnits(Random random) {
        double size = random.nextDouble();
        if (size < 0.2) {
            return 12_000 + random.nextInt(36_000);
        }
        return size < 0.7 ? 1_000 + random.nextInt(1_000) : 200 + random.nextInt(2_500);
    }

    private void request(NodeId node, long nowMs, Random random) {
        long units = randomUnits(random) / smaller;
        ShareState state = states.get(node);
        ShareState.QuotaStatus status =
                paced ? state.pacedQuotaStatus(nowMs, TEAM, QUOTA) : state.quotaStatus(nowMs, TEAM, QUOTA);
        if (status.admits(units, random.nextDouble())) {
            deliver(node, nowMs, new ShareEvent.Spent(TEAM, units), random);
            admitted.add(new Admitted(nowMs, units));
        } else {
            deliver(node, nowMs, new ShareEvent.Refused(TEAM, units), random);
        }
        double meanUnits = (0.2 * 30_000 + 0.5 * 1_500 + 0.3 * 1_450) / smaller;
        double perMs =
                (nowMs < OVERLOAD_START_MS ? 1 : OVERLOAD_FACTOR) * USUAL_UNITS_PER_S / meanUnits / nodes / 1_000;
        queue.add(new Scheduled(
                nowMs + 1 + (long) (-Math.log(1 - random.nextDouble()) / perMs), node, Optional.empty()));
    }

    private void simulate(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < nodes; i++) {
            states.put(new NodeId("n" + i), ShareState.initial(RULES));
        }
        List<Peers.Peer> peers =
                states.keySet().stream().map(QuotaUnderPressureTest::peer).toList();
        for (NodeId node : List.copyOf(states.keySet())) {
            deliver(node, 0, new PlatformEvent.Listed(List.of(), peers), random);
            deliver(node, 0, new LifecycleEvent.Started(), random);
            queue.add(new Scheduled(1_000 + random.nextInt(200), node, Optional.empty()));
        }
        for (Scheduled next = queue.poll(); next.atMs < endMs; next = queue.poll()) {
            if (next.event.isPresent()) {
                deliver(next.node, next.atMs, next.event.get(), random);
            } else {
                request(next.node, next.atMs, random);
            }
        }
    }

    private long admittedInWindow(long fromMs) {
        return admitted.stream()
                .filter(t -> t.atMs >= fromMs && t.atMs <= fromMs + WINDOW_MS)
                .mapToLong(Admitted::units)
                .sum();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void enforcesTheQuotaInEachWindowAndGrantsTheFullRate(long seed) {
        simulate(seed);
        long max =
                admitted.stream().mapToLong(t -> admittedInWindow(t.atMs)).max().orElseThrow();
        long last = admittedInWindow(endMs - WINDOW_MS);
        assertThat((double) max).isLessThanOrEqualTo(MAX_UNITS);
        assertThat((double) last).isGreaterThanOrEqualTo(MIN_UNITS);
    }

    /**
     * A team sends six times its usual load until the end. Guards against a team that spends its whole quota at once and is
     * then refused nearly everything for the rest of the window, as it is by the limit of the window alone.
     */
    @ParameterizedTest
    @CsvSource({"8, 1, 30", "8, 2, 30", "8, 3, 30", "60, 1, 20", "370, 1, 16"})
    void servesAPacedTeamSteadilyWithinItsQuota(int nodeCount, long seed, long seconds) {
        nodes = nodeCount;
        endMs = seconds * 1_000;
        smaller = MANY_REQUESTS;
        simulate(seed);
        double unpaced = leastPace();
        states.clear();
        queue.clear();
        admitted.clear();
        paced = true;
        simulate(seed);
        long max =
                admitted.stream().mapToLong(t -> admittedInWindow(t.atMs)).max().orElseThrow();
        assertThat((double) max).isLessThanOrEqualTo(MAX_UNITS);
        assertThat(leastPace()).isGreaterThanOrEqualTo(MIN_PACE).isGreaterThan(unpaced);
    }

    /** Returns the least part of its rate that the team got in any short window of the overload. */
    private double leastPace() {
        double least = Double.MAX_VALUE;
        for (long from = OVERLOAD_START_MS + ONSET_MS; from <= endMs - PACE_WINDOW_MS; from += PACE_WINDOW_MS / 4) {
            long start = from;
            double units = admitted.stream()
                    .filter(a -> a.atMs >= start && a.atMs < start + PACE_WINDOW_MS)
                    .mapToLong(Admitted::units)
                    .sum();
            least = Math.min(least, units / (RATE * PACE_WINDOW_MS / 1_000));
        }
        return least;
    }
}
