package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.speed.ServerTimes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Guards against sums of times that are counted twice or lost on the way, or that take much of a node's link. */
class ServerTimesSharingTest {
    /** Bytes per second that the times of servers may add to a node's reports: a tenth of all control traffic. */
    private static final double MAX_BYTES_PER_S = 1_100;

    private static final int ENTRY_BYTES = 28;
    private static final int TICK_MS = 500;

    private final Map<NodeId, ShareState> states = new TreeMap<>();
    private final Map<NodeId, Map<BackendId, ServerTimes>> times = new HashMap<>();
    private final Map<NodeId, Long> sentEntries = new HashMap<>();
    private final Set<NodeId> stopped = new HashSet<>();
    private final ShareReducer reducer = new ShareReducer();
    private long nowMs;

    private void start(int nodes, int servers) {
        for (int i = 0; i < nodes; i++) {
            NodeId id = new NodeId("n" + i);
            states.put(id, ShareState.initial(ShareRules.DEFAULT));
            Map<BackendId, ServerTimes> own = new HashMap<>();
            for (int s = 0; s < servers; s++) {
                own.put(new BackendId("s" + s), new ServerTimes(i + 2.0 * s, 10));
            }
            times.put(id, own);
        }
        List<Peers.Peer> all =
                states.keySet().stream().map(ServerTimesSharingTest::peer).toList();
        states.keySet().forEach(n -> reduce(n, new PlatformEvent.Listed(List.of(), all)));
        states.keySet().forEach(n -> reduce(n, new LifecycleEvent.Started()));
    }

    private static Peers.Peer peer(NodeId id) {
        return new Peers.Peer(id, new Address("10.0.0.1", 1), new Zone("z"));
    }

    private List<Effect> reduce(NodeId node, Event event) {
        TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
        states.keySet().stream()
                .filter(n -> !n.equals(node) && !stopped.contains(n))
                .forEach(n -> others.put(n, peer(n)));
        View.Work work = new View.Work() {
            @Override
            public Map<BackendId, Integer> inFlight() {
                return Map.of();
            }

            @Override
            public Map<BackendId, ServerTimes> serverTimes(long now) {
                return times.get(node);
            }
        };
        View view = new View(
                new Identity(node, new Zone("z"), new Address("10.0.0.1", 1), 1),
                nowMs,
                1_000_000 + nowMs,
                Configuration.NONE,
                VersionShares.NONE,
                new Peers(others),
                states.get(node),
                work,
                QuarantineState.initial());
        Step<ShareState> step = reducer.reduce(states.get(node), view, event);
        states.put(node, step.state());
        return step.effects();
    }

    private void run(long ms) {
        record Message(NodeId from, NodeId to, PeerMessage content) {}
        for (long end = nowMs + ms; nowMs < end; nowMs += TICK_MS) {
            List<Message> messages = new ArrayList<>();
            for (NodeId node : List.copyOf(states.keySet())) {
                if (stopped.contains(node)) {
                    continue;
                }
                for (Effect effect : reduce(node, new ShareEvent.Tick())) {
                    if (effect instanceof Effect.Send send) {
                        messages.add(new Message(node, send.to(), send.message()));
                    }
                }
            }
            for (Message message : messages) {
                if (message.content() instanceof ShareReport report) {
                    sentEntries.merge(
                            message.from(), (long) report.serverTimes().size(), Long::sum);
                }
                if (!stopped.contains(message.to())) {
                    reduce(message.to(), new PeerReceived(message.from(), message.content()));
                }
            }
        }
    }

    private ServerTimes sumOfOthers(NodeId node, BackendId server) {
        return states.keySet().stream()
                .filter(n -> !n.equals(node) && !stopped.contains(n))
                .map(n -> times.get(n).get(server))
                .reduce(ServerTimes.NONE, ServerTimes::plus);
    }

    @ParameterizedTest
    @CsvSource({"8, 12", "60, 63", "370, 63"})
    void everyNodeKnowsTheSumsOfAllOthers(int nodes, int servers) {
        start(nodes, servers);
        run(20_000);
        for (NodeId node : states.keySet()) {
            for (BackendId server : times.get(node).keySet()) {
                ServerTimes known = states.get(node).serverTimesElsewhere(server);
                ServerTimes sum = sumOfOthers(node, server);
                assertThat(known.observedMs()).as("%s at %s", server, node).isCloseTo(sum.observedMs(), within(1e-3));
                assertThat(known.expectedMs()).as("%s at %s", server, node).isCloseTo(sum.expectedMs(), within(1e-3));
            }
        }
    }

    /** In a fleet of the largest size, reports with the times of all servers would be 115 kB. */
    @Test
    void reportsOfALargeFleetStaySmall() {
        start(20, 4_100);
        run(20_000);
        sentEntries.clear();
        run(20_000);
        sentEntries.forEach((node, entries) -> assertThat(entries * ENTRY_BYTES / 20.0)
                .as(node.value())
                .isPositive()
                .isLessThan(MAX_BYTES_PER_S));
    }

    /** A node that is cut off, or whose aggregators are gone, goes by its own sums once the reports have expired. */
    @Test
    void sumsOfOthersEndWithTheirReports() {
        start(20, 12);
        run(10_000);
        NodeId last = new NodeId("n9");
        states.keySet().stream().filter(n -> !n.equals(last)).forEach(stopped::add);
        run(40_000);
        times.get(last)
                .keySet()
                .forEach(s ->
                        assertThat(states.get(last).serverTimesElsewhere(s)).isEqualTo(ServerTimes.NONE));
    }

    /** The loss of one aggregator does not change what is known: there is one of another plane. */
    @Test
    void sumsSurviveTheLossOfAnAggregator() {
        start(20, 12);
        run(10_000);
        NodeId aggregator = states.keySet().stream()
                .filter(n -> states.get(n).hearing().plan().ownPlane().isPresent())
                .findFirst()
                .orElseThrow();
        stopped.add(aggregator);
        run(40_000);
        BackendId server = new BackendId("s3");
        for (NodeId node : states.keySet()) {
            if (!stopped.contains(node)) {
                assertThat(states.get(node).serverTimesElsewhere(server).expectedMs())
                        .as(node.value())
                        .isCloseTo(sumOfOthers(node, server).expectedMs(), within(1e-3));
            }
        }
    }

    @Test
    void reportsWithoutTimesContainNone() {
        start(20, 0);
        run(5_000);
        assertThat(sentEntries.values()).isNotEmpty().allMatch(n -> n == 0);
    }
}
