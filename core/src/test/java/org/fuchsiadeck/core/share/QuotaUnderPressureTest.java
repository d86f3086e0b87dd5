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
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A team sends several times its usual, in requests of very different sizes, through all nodes at once, and reports between
 * the nodes lag behind.
 */
class QuotaUnderPressureTest {
    private static final TeamId TEAM = new TeamId("t");
    private static final int NODES = 7;
    private static final double RATE = 180_000;
    private static final Quota QUOTA = new Quota(RATE, 2 * RATE, true, 200);
    private static final long WINDOW_MS = 8_000;
    private static final double OVERAGE = 0.1;
    private static final double SLACK = 140_000;
    private static final ShareRules RULES = new ShareRules(WINDOW_MS, OVERAGE, SLACK, 10_000, 0.2, 20, 5_000);
    private static final double WHOLE = RATE * WINDOW_MS / 1_000 + 2 * RATE;
    private static final double MOST = WHOLE * (1 + OVERAGE) + SLACK;

    /** What a team that asks for more gets at the least: its rate. */
    private static final double LEAST = RATE * WINDOW_MS / 1_000;

    private static final long USUAL_MS = 9_000;
    private static final long DAY_MS = 30_000;
    private static final double PRESS = 6;

    /** Usual tokens a second, over all nodes. */
    private static final double USUAL = 100_000;

    private final Map<NodeId, ShareState> states = new TreeMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.atMs, b.atMs));
    private final ShareReducer reducer = new ShareReducer();
    private final List<Taken> taken = new ArrayList<>();

    /** An event on its way to a node, or a request of the team if there is none. */
    private record Due(long atMs, NodeId node, Optional<Event> event) {}

    private record Taken(long atMs, long units) {}

    private View view(NodeId self, long nowMs) {
        TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
        states.keySet().stream().filter(n -> !n.equals(self)).forEach(n -> others.put(n, peer(n)));
        Identity identity = new Identity(self, new Zone("z"), new Address("10.0.0.1", 1), 1);
        return new View(
                identity, nowMs, 1_000_000_000L + nowMs, Configuration.NONE, VersionShares.NONE, new Peers(others));
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
                due.add(new Due(atMs, send.to(), Optional.of(new PeerReceived(node, send.message()))));
            } else if (effect instanceof Effect.Schedule schedule) {
                due.add(new Due(schedule.atMs() + random.nextInt(50), node, Optional.of(schedule.event())));
            }
        }
    }

    private static long units(Random random) {
        double kind = random.nextDouble();
        if (kind < 0.2) {
            return 12_000 + random.nextInt(36_000);
        }
        return kind < 0.7 ? 1_000 + random.nextInt(1_000) : 200 + random.nextInt(2_500);
    }

    private void ask(NodeId node, long nowMs, Random random) {
        long units = units(random);
        if (states.get(node).quotaStatus(nowMs, TEAM, QUOTA).admits(units, random.nextDouble())) {
            deliver(node, nowMs, new ShareEvent.Spent(TEAM, units), random);
            taken.add(new Taken(nowMs, units));
        } else {
            deliver(node, nowMs, new ShareEvent.Refused(TEAM, units), random);
        }
        double mean = 0.2 * 30_000 + 0.5 * 1_500 + 0.3 * 1_450;
        double perMs = (nowMs < USUAL_MS ? 1 : PRESS) * USUAL / mean / NODES / 1_000;
        due.add(new Due(nowMs + 1 + (long) (-Math.log(1 - random.nextDouble()) / perMs), node, Optional.empty()));
    }

    private void play(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < NODES; i++) {
            states.put(new NodeId("n" + i), ShareState.initial(RULES));
        }
        List<Peers.Peer> peers =
                states.keySet().stream().map(QuotaUnderPressureTest::peer).toList();
        for (NodeId node : List.copyOf(states.keySet())) {
            deliver(node, 0, new PlatformEvent.Listed(List.of(), peers), random);
            deliver(node, 0, new Lifecycle.Started(), random);
            due.add(new Due(1_000 + random.nextInt(200), node, Optional.empty()));
        }
        for (Due next = due.poll(); next.atMs < DAY_MS; next = due.poll()) {
            if (next.event.isPresent()) {
                deliver(next.node, next.atMs, next.event.get(), random);
            } else {
                ask(next.node, next.atMs, random);
            }
        }
    }

    private long in(long fromMs) {
        return taken.stream()
                .filter(t -> t.atMs >= fromMs && t.atMs <= fromMs + WINDOW_MS)
                .mapToLong(Taken::units)
                .sum();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void enforcesTheQuotaInEachWindowAndGrantsTheFullRate(long seed) {
        play(seed);
        long most = taken.stream().mapToLong(t -> in(t.atMs)).max().orElseThrow();
        long last = in(DAY_MS - WINDOW_MS);
        assertThat((double) most).isLessThanOrEqualTo(MOST);
        assertThat((double) last).isGreaterThanOrEqualTo(LEAST);
    }
}
