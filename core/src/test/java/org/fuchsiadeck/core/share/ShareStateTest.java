package org.fuchsiadeck.core.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
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
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against limits that all nodes together exceed or needlessly tighten: in normal operation, with isolated nodes
 * and wrong clocks, and after restarts of one node or of all nodes.
 */
class ShareStateTest {
    private static final TeamId TEAM = new TeamId("t");
    private static final Quota QUOTA = new Quota(100, 200, true, 10);
    private static final ShareRules RULES = new ShareRules(8_000, 0, 0, 10_000, 0.2, 20, 5_000);
    private static final long WALL = 1_000_000_000L;

    /** Nodes whose messages are delivered at once, except to and from isolated nodes. */
    private static final class Cluster {
        final Map<NodeId, ShareState> states = new TreeMap<>();
        final Map<NodeId, Long> clockOffsetsMs = new HashMap<>();
        final ShareReducer reducer = new ShareReducer();
        long nowMs;

        Cluster(int nodes) {
            for (int i = 0; i < nodes; i++) {
                states.put(new NodeId("n" + i), ShareState.initial(RULES));
            }
            states.keySet().forEach(n -> deliver(n, new PlatformEvent.Listed(List.of(), peers())));
            states.keySet().forEach(n -> deliver(n, new LifecycleEvent.Started()));
        }

        List<Peers.Peer> peers() {
            return states.keySet().stream().map(Cluster::peer).toList();
        }

        static Peers.Peer peer(NodeId id) {
            return new Peers.Peer(id, new Address("10.0.0.1", 1), new Zone("z"));
        }

        View view(NodeId self) {
            TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
            states.keySet().stream().filter(n -> !n.equals(self)).forEach(n -> others.put(n, peer(n)));
            long wall = WALL + nowMs + clockOffsetsMs.getOrDefault(self, 0L);
            Identity identity = new Identity(self, new Zone("z"), new Address("10.0.0.1", 1), 1);
            return new View(identity, nowMs, wall, Configuration.NONE, VersionShares.NONE, new Peers(others));
        }

        List<Effect> deliver(NodeId node, Event event) {
            Step<ShareState> step = reducer.reduce(states.get(node), view(node), event);
            states.put(node, step.state());
            return step.effects();
        }

        void tick(NodeId... isolated) {
            nowMs += 250;
            List<NodeId> isolatedNodes = List.of(isolated);
            for (NodeId node : List.copyOf(states.keySet())) {
                for (Effect effect : deliver(node, new ShareEvent.Tick())) {
                    if (effect instanceof Effect.Send send
                            && !isolatedNodes.contains(node)
                            && !isolatedNodes.contains(send.to())) {
                        deliver(send.to(), new PeerReceived(node, send.message()));
                    }
                }
            }
        }

        /** Stops all processes at once and starts them again; they read the given record from the key-value service. */
        void restartAll(long downMs, Optional<UsageRecord> record) {
            nowMs += downMs;
            for (NodeId node : List.copyOf(states.keySet())) {
                states.put(node, ShareState.initial(RULES));
                deliver(node, new PlatformEvent.Listed(List.of(), peers()));
                for (Effect effect : deliver(node, new LifecycleEvent.Started())) {
                    if (effect instanceof PlatformEffect.Get get) {
                        Optional<PlatformEvent.Entry> entry =
                                record.map(r -> new PlatformEvent.Entry(get.key(), Optional.of(r.serialize()), 7));
                        deliver(node, new PlatformEvent.Found(get.tag(), entry, 9));
                    }
                }
            }
        }

        /**
         * Requests units at each node four times a second, and returns the admitted units by the time of the request.
         */
        TreeMap<Long, Long> request(long ms, long units) {
            TreeMap<Long, Long> admitted = new TreeMap<>();
            for (long until = nowMs + ms; nowMs < until; ) {
                tick();
                for (int node = 0; node < states.size(); node++) {
                    admitted.merge(nowMs, trySpend(node, units) ? units : 0L, Long::sum);
                }
            }
            return admitted;
        }

        ShareState state(int node) {
            return states.get(new NodeId("n" + node));
        }

        boolean trySpend(int node, long units) {
            boolean allowed = state(node).quotaStatus(nowMs, TEAM, QUOTA).excess(units) <= 0;
            if (allowed) {
                deliver(new NodeId("n" + node), new ShareEvent.Spent(TEAM, units));
            }
            return allowed;
        }
    }

    /** The servers of a zone whose nodes are cut off would look idle to the others. */
    @ParameterizedTest
    @ValueSource(ints = {8, 60})
    void countsOnlyNodesWhoseAttemptsAreKnown(int nodes) {
        Cluster cluster = new Cluster(nodes);
        assertThat(cluster.state(0).nodesWithServerReports(cluster.nowMs)).isEqualTo(1);
        for (int i = 0; i < 12; i++) {
            cluster.tick();
        }
        assertThat(cluster.state(0).nodesWithServerReports(cluster.nowMs)).isEqualTo(nodes);
        NodeId[] cut = cluster.states.keySet().stream()
                .filter(n -> !n.equals(new NodeId("n0")))
                .limit(nodes / 4)
                .toArray(NodeId[]::new);
        for (int i = 0; i < 24; i++) {
            cluster.tick(cut);
        }
        assertThat(cluster.state(0).nodes()).isEqualTo(nodes);
        assertThat(cluster.state(0).nodesWithServerReports(cluster.nowMs)).isBetween(1, nodes - nodes / 4);
    }

    @Test
    void limitsATeamToItsQuotaAcrossAllNodesInEachWindow() {
        Cluster cluster = new Cluster(3);
        TreeMap<Long, Long> admitted = new TreeMap<>();
        for (int i = 0; i < 160; i++) {
            cluster.tick();
            for (int node = 0; node < 3; node++) {
                admitted.merge(cluster.nowMs, cluster.trySpend(node, 20) ? 20L : 0L, Long::sum);
            }
        }
        long limit = 100 * 8 + 200;
        for (long from : admitted.keySet()) {
            long window = admitted.subMap(from, from + 8_000).values().stream()
                    .mapToLong(v -> v)
                    .sum();
            assertThat(window).isLessThanOrEqualTo(limit + limit / 10);
        }
        long total = admitted.values().stream().mapToLong(v -> v).sum();
        assertThat(total).isGreaterThanOrEqualTo(100 * cluster.nowMs / 1_000);
    }

    @Test
    void allowsOnlyTheBurstAfterAStartWithoutHistory() {
        Cluster cluster = new Cluster(1);
        assertThat(cluster.trySpend(0, 200)).isTrue();
        assertThat(cluster.trySpend(0, 50)).isFalse();
    }

    /** The order of queued requests must not depend on reports that no longer describe the present. */
    @Test
    void countsUnitsSpentElsewhereWhileReportsAreRecent() {
        Cluster cluster = new Cluster(4);
        cluster.clockOffsetsMs.put(new NodeId("n2"), -86_400_000L);
        cluster.deliver(new NodeId("n1"), new ShareEvent.Spent(TEAM, 100));
        cluster.deliver(new NodeId("n2"), new ShareEvent.Spent(TEAM, 100));
        cluster.deliver(new NodeId("n0"), new ShareEvent.Spent(TEAM, 10));
        cluster.tick();
        cluster.tick();
        assertThat(cluster.state(0).recentlySpentUnits(cluster.nowMs, TEAM)).isBetween(190.0, 210.0);
        for (int i = 0; i < 10; i++) {
            cluster.tick(new NodeId("n0"));
        }
        assertThat(cluster.state(0).recentlySpentUnits(cluster.nowMs, TEAM)).isEqualTo(10.0);
        cluster.restartAll(100, Optional.empty());
        assertThat(cluster.state(0).recentlySpentUnits(cluster.nowMs, TEAM)).isZero();
    }

    @Test
    void limitsAnIsolatedNodeToItsShareOfTheQuota() {
        Cluster cluster = new Cluster(4);
        NodeId isolated = new NodeId("n0");
        for (int i = 0; i < 60; i++) {
            cluster.tick(isolated);
        }
        long spent = 0;
        while (cluster.trySpend(0, 10)) {
            spent += 10;
        }
        assertThat(spent).isBetween(200L, (100 * 8 + 200) / 4L);
    }

    @Test
    void allowsATeamItsFullQuotaThroughOneNode() {
        Cluster cluster = new Cluster(4);
        for (int i = 0; i < 60; i++) {
            cluster.tick();
        }
        assertThat(cluster.trySpend(2, 900)).isTrue();
        assertThat(cluster.state(2).quotaStatus(cluster.nowMs, TEAM, QUOTA).excess(200))
                .isBetween(90.0, 110.0);
    }

    @Test
    void sharesOneRetryBudgetAcrossAllNodes() {
        Cluster cluster = new Cluster(3);
        int retries = 0;
        for (int i = 0; i < 40; i++) {
            cluster.tick();
            for (int node = 0; node < 3; node++) {
                NodeId id = new NodeId("n" + node);
                cluster.deliver(id, new ShareEvent.Requested("s"));
                for (int retry = 0; retry < 3 && cluster.state(node).allowsRetry(cluster.nowMs, "s"); retry++) {
                    cluster.deliver(id, new ShareEvent.Repeated("s"));
                    retries++;
                }
            }
        }
        assertThat(retries).isBetween(20, (int) (120 * 0.2 + 20));
    }

    @Test
    void assignsRequestsToWindowsByTheMedianClock() {
        Cluster cluster = new Cluster(3);
        cluster.tick();
        cluster.clockOffsetsMs.put(new NodeId("n1"), 40_000L);
        cluster.tick();
        cluster.tick();
        for (int node = 0; node < 3; node++) {
            cluster.deliver(new NodeId("n" + node), new ShareEvent.Begun(TEAM, cluster.nowMs));
        }
        cluster.tick();
        long window = (WALL + cluster.nowMs) / 5_000;
        assertThat(cluster.state(0).begunRequests(window)).containsEntry(TEAM, 3L);
        assertThat(cluster.state(1).begunRequests(window)).containsEntry(TEAM, 3L);
    }

    @Test
    void keepsTheCountsOfARestartedNode() {
        Cluster cluster = new Cluster(2);
        cluster.deliver(new NodeId("n1"), new ShareEvent.Begun(TEAM, cluster.nowMs));
        cluster.tick();
        NodeId restarted = new NodeId("n1");
        cluster.states.put(restarted, ShareState.initial(RULES));
        cluster.nowMs += 500;
        cluster.deliver(restarted, new LifecycleEvent.Started());
        cluster.deliver(restarted, new ShareEvent.Begun(TEAM, cluster.nowMs));
        cluster.tick();
        long window = (WALL + cluster.nowMs) / 5_000;
        assertThat(cluster.state(0).begunRequests(window)).containsEntry(TEAM, 2L);
    }

    /**
     * After a simultaneous restart of all nodes, callers retry lost requests before the nodes have exchanged reports.
     */
    @Test
    void servesATeamWithinItsQuotaAfterAllNodesRestart() {
        Cluster cluster = new Cluster(3);
        cluster.request(12_000, 5);
        Optional<UsageRecord> record = cluster.state(1).usageRecord(cluster.nowMs);
        cluster.tick();
        cluster.tick();
        cluster.restartAll(1_000, record);
        for (int retry = 0; retry < 6; retry++) {
            for (int node = 0; node < 3; node++) {
                assertThat(cluster.trySpend(node, 8)).isTrue();
            }
        }
        TreeMap<Long, Long> after = cluster.request(8_000, 5);
        assertThat(sum(after)).isEqualTo(after.size() * 3 * 5L);
    }

    @Test
    void assumesSpendingAtTheFullRateWithoutARecord() {
        Cluster cluster = new Cluster(3);
        cluster.request(12_000, 6);
        cluster.restartAll(1_000, Optional.empty());
        assertThat(sum(cluster.request(4_000, 9))).isLessThanOrEqualTo(700);
    }

    /** A team requests three times its quota while all nodes restart repeatedly. */
    @Test
    void enforcesTheQuotaAcrossRestartsOfAllNodes() {
        Cluster cluster = new Cluster(3);
        TreeMap<Long, Long> admitted = new TreeMap<>(cluster.request(9_000, 25));
        for (long upMs = 500; upMs < 12_000; upMs += 1_250) {
            Optional<UsageRecord> record = cluster.state(0).usageRecord(cluster.nowMs);
            admitted.putAll(cluster.request(750, 25));
            cluster.restartAll(600, record);
            admitted.putAll(cluster.request(upMs, 25));
        }
        long limit = 100 * 8 + 200;
        for (long from : admitted.keySet()) {
            assertThat(sum(admitted.subMap(from, from + 8_000))).isLessThanOrEqualTo(limit + limit / 10);
        }
    }

    @Test
    void prefersTheReportsOfARunningNodeToTheRecord() {
        Cluster cluster = new Cluster(2);
        cluster.request(12_000, 10);
        Optional<UsageRecord> record = cluster.state(1).usageRecord(cluster.nowMs);
        NodeId restarted = new NodeId("n1");
        cluster.states.put(restarted, ShareState.initial(RULES));
        cluster.deliver(restarted, new PlatformEvent.Listed(List.of(), cluster.peers()));
        for (Effect effect : cluster.deliver(restarted, new LifecycleEvent.Started())) {
            if (effect instanceof PlatformEffect.Get get) {
                PlatformEvent.Entry entry = new PlatformEvent.Entry(
                        get.key(), Optional.of(record.orElseThrow().serialize()), 7);
                cluster.deliver(restarted, new PlatformEvent.Found(get.tag(), Optional.of(entry), 9));
            }
        }
        cluster.tick();
        long window = (WALL + cluster.nowMs) / 5_000;
        assertThat(cluster.state(1).begunRequests(window))
                .isEqualTo(cluster.state(0).begunRequests(window));
        assertThat(cluster.trySpend(1, 500)).isTrue();
    }

    @Test
    void keepsUsageWindowsAcrossARestartOfAllNodes() {
        Cluster cluster = new Cluster(2);
        for (int i = 0; i < 40; i++) {
            cluster.tick();
            cluster.deliver(new NodeId("n0"), new ShareEvent.Begun(TEAM, cluster.nowMs));
        }
        cluster.tick();
        long window = (WALL + cluster.nowMs) / 5_000 - 1;
        java.util.Map<TeamId, Long> expected = cluster.state(1).begunRequests(window);
        Optional<UsageRecord> record = cluster.state(1).usageRecord(cluster.nowMs);
        cluster.restartAll(1_000, record);
        cluster.tick();
        assertThat(expected.get(TEAM)).isPositive();
        assertThat(cluster.state(0).begunRequests(window)).isEqualTo(expected);
    }

    @Test
    void parsesASerializedRecord() {
        UsageRecord record = new UsageRecord(WALL, Map.of(TEAM, 12L), Map.of(3L, Map.of(TEAM, 4L)));
        assertThat(UsageRecord.parse(record.serialize())).contains(record);
        assertThat(UsageRecord.parse("")).isEmpty();
        assertThat(UsageRecord.parse("time\t")).isEmpty();
        assertThat(UsageRecord.parse("time\t12\nspent\ta\tb")).isEmpty();
    }

    private static long sum(Map<Long, Long> admitted) {
        return admitted.values().stream().mapToLong(v -> v).sum();
    }
}
