package org.fuchsiadeck.core.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ShareStateTest {
    private static final TeamId TEAM = new TeamId("t");
    private static final Quota QUOTA = new Quota(100, 200, true, 10);
    private static final ShareRules RULES = new ShareRules(8_000, 0, 0, 10_000, 0.2, 20, 5_000);
    private static final long WALL = 1_000_000_000L;

    /** Nodes that tell each other all they say, unless they are cut off. */
    private static final class Cluster {
        final Map<NodeId, ShareState> states = new TreeMap<>();
        final Map<NodeId, Long> clocks = new HashMap<>();
        final ShareReducer reducer = new ShareReducer();
        long now;

        Cluster(int nodes) {
            for (int i = 0; i < nodes; i++) {
                states.put(new NodeId("n" + i), ShareState.initial(RULES));
            }
            states.keySet().forEach(n -> deliver(n, new PlatformEvent.Listed(List.of(), peers())));
            states.keySet().forEach(n -> deliver(n, new Lifecycle.Started()));
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
            long wall = WALL + now + clocks.getOrDefault(self, 0L);
            Identity identity = new Identity(self, new Zone("z"), new Address("10.0.0.1", 1), 1);
            return new View(identity, now, wall, Configuration.NONE, VersionShares.NONE, new Peers(others));
        }

        List<Effect> deliver(NodeId node, Event event) {
            Step<ShareState> step = reducer.reduce(states.get(node), view(node), event);
            states.put(node, step.state());
            return step.effects();
        }

        void tick(NodeId... cut) {
            now += 250;
            List<NodeId> off = List.of(cut);
            for (NodeId node : List.copyOf(states.keySet())) {
                for (Effect effect : deliver(node, new ShareEvent.Tick())) {
                    if (effect instanceof Effect.Send send && !off.contains(node) && !off.contains(send.to())) {
                        deliver(send.to(), new PeerReceived(node, send.message()));
                    }
                }
            }
        }

        /** All processes end at once and start again, with what the platform's service holds. */
        void restartAll(long downMs, Optional<UsageRecord> record) {
            now += downMs;
            for (NodeId node : List.copyOf(states.keySet())) {
                states.put(node, ShareState.initial(RULES));
                deliver(node, new PlatformEvent.Listed(List.of(), peers()));
                for (Effect effect : deliver(node, new Lifecycle.Started())) {
                    if (effect instanceof PlatformEffect.Get get) {
                        Optional<PlatformEvent.Entry> entry =
                                record.map(r -> new PlatformEvent.Entry(get.key(), Optional.of(r.serialize()), 7));
                        deliver(node, new PlatformEvent.Found(get.tag(), entry, 9));
                    }
                }
            }
        }

        /** Asks for units at each node four times a second, and returns what was taken by the time of asking. */
        TreeMap<Long, Long> ask(long ms, long units) {
            TreeMap<Long, Long> taken = new TreeMap<>();
            for (long until = now + ms; now < until; ) {
                tick();
                for (int node = 0; node < states.size(); node++) {
                    taken.merge(now, spend(node, units) ? units : 0L, Long::sum);
                }
            }
            return taken;
        }

        ShareState at(int node) {
            return states.get(new NodeId("n" + node));
        }

        boolean spend(int node, long units) {
            boolean allowed = at(node).quotaStatus(now, TEAM, QUOTA).excess(units) <= 0;
            if (allowed) {
                deliver(new NodeId("n" + node), new ShareEvent.Spent(TEAM, units));
            }
            return allowed;
        }
    }

    @Test
    void limitsATeamToItsQuotaAcrossAllNodesInEachWindow() {
        Cluster cluster = new Cluster(3);
        TreeMap<Long, Long> taken = new TreeMap<>();
        for (int i = 0; i < 160; i++) {
            cluster.tick();
            for (int node = 0; node < 3; node++) {
                taken.merge(cluster.now, cluster.spend(node, 20) ? 20L : 0L, Long::sum);
            }
        }
        long limit = 100 * 8 + 200;
        for (long from : taken.keySet()) {
            long window = taken.subMap(from, from + 8_000).values().stream()
                    .mapToLong(v -> v)
                    .sum();
            assertThat(window).isLessThanOrEqualTo(limit + limit / 10);
        }
        long all = taken.values().stream().mapToLong(v -> v).sum();
        assertThat(all).isGreaterThanOrEqualTo(100 * cluster.now / 1_000);
    }

    @Test
    void allowsOnlyTheBurstAfterAStartWithoutHistory() {
        Cluster cluster = new Cluster(1);
        assertThat(cluster.spend(0, 200)).isTrue();
        assertThat(cluster.spend(0, 50)).isFalse();
    }

    @Test
    void limitsAnIsolatedNodeToItsShareOfTheQuota() {
        Cluster cluster = new Cluster(4);
        NodeId cut = new NodeId("n0");
        for (int i = 0; i < 60; i++) {
            cluster.tick(cut);
        }
        long alone = 0;
        while (cluster.spend(0, 10)) {
            alone += 10;
        }
        assertThat(alone).isBetween(200L, (100 * 8 + 200) / 4L);
    }

    @Test
    void allowsATeamItsFullQuotaThroughOneNode() {
        Cluster cluster = new Cluster(4);
        for (int i = 0; i < 60; i++) {
            cluster.tick();
        }
        assertThat(cluster.spend(2, 900)).isTrue();
        assertThat(cluster.at(2).quotaStatus(cluster.now, TEAM, QUOTA).excess(200))
                .isBetween(90.0, 110.0);
    }

    @Test
    void sharesOneRetryBudgetAcrossAllNodes() {
        Cluster cluster = new Cluster(3);
        int repeats = 0;
        for (int i = 0; i < 40; i++) {
            cluster.tick();
            for (int node = 0; node < 3; node++) {
                NodeId id = new NodeId("n" + node);
                cluster.deliver(id, new ShareEvent.Requested("s"));
                for (int again = 0; again < 3 && cluster.at(node).allowsRetry(cluster.now, "s"); again++) {
                    cluster.deliver(id, new ShareEvent.Repeated("s"));
                    repeats++;
                }
            }
        }
        assertThat(repeats).isBetween(20, (int) (120 * 0.2 + 20));
    }

    @Test
    void assignsRequestsToWindowsByTheMedianClock() {
        Cluster cluster = new Cluster(3);
        cluster.tick();
        cluster.clocks.put(new NodeId("n1"), 40_000L);
        cluster.tick();
        cluster.tick();
        for (int node = 0; node < 3; node++) {
            cluster.deliver(new NodeId("n" + node), new ShareEvent.Begun(TEAM, cluster.now));
        }
        cluster.tick();
        long window = (WALL + cluster.now) / 5_000;
        assertThat(cluster.at(0).begunRequests(window)).containsEntry(TEAM, 3L);
        assertThat(cluster.at(1).begunRequests(window)).containsEntry(TEAM, 3L);
    }

    @Test
    void keepsTheCountsOfARestartedNode() {
        Cluster cluster = new Cluster(2);
        cluster.deliver(new NodeId("n1"), new ShareEvent.Begun(TEAM, cluster.now));
        cluster.tick();
        NodeId again = new NodeId("n1");
        cluster.states.put(again, ShareState.initial(RULES));
        cluster.now += 500;
        cluster.deliver(again, new Lifecycle.Started());
        cluster.deliver(again, new ShareEvent.Begun(TEAM, cluster.now));
        cluster.tick();
        long window = (WALL + cluster.now) / 5_000;
        assertThat(cluster.at(0).begunRequests(window)).containsEntry(TEAM, 2L);
    }

    /** A power cut in the middle of the rush: callers repeat what was lost before the nodes hear each other again. */
    @Test
    void servesATeamWithinItsQuotaAfterAllNodesRestart() {
        Cluster cluster = new Cluster(3);
        cluster.ask(12_000, 5);
        Optional<UsageRecord> record = cluster.at(1).usageRecord(cluster.now);
        cluster.tick();
        cluster.tick();
        cluster.restartAll(1_000, record);
        for (int again = 0; again < 6; again++) {
            for (int node = 0; node < 3; node++) {
                assertThat(cluster.spend(node, 8)).isTrue();
            }
        }
        TreeMap<Long, Long> after = cluster.ask(8_000, 5);
        assertThat(sum(after)).isEqualTo(after.size() * 3 * 5L);
    }

    @Test
    void assumesSpendingAtTheFullRateWithoutARecord() {
        Cluster cluster = new Cluster(3);
        cluster.ask(12_000, 6);
        cluster.restartAll(1_000, Optional.empty());
        assertThat(sum(cluster.ask(4_000, 9))).isLessThanOrEqualTo(700);
    }

    /** A loud team asks for three times its quota, and all nodes are lost over and over. */
    @Test
    void enforcesTheQuotaAcrossRestartsOfAllNodes() {
        Cluster cluster = new Cluster(3);
        TreeMap<Long, Long> taken = new TreeMap<>(cluster.ask(9_000, 25));
        for (long upMs = 500; upMs < 12_000; upMs += 1_250) {
            Optional<UsageRecord> record = cluster.at(0).usageRecord(cluster.now);
            taken.putAll(cluster.ask(750, 25));
            cluster.restartAll(600, record);
            taken.putAll(cluster.ask(upMs, 25));
        }
        long limit = 100 * 8 + 200;
        for (long from : taken.keySet()) {
            assertThat(sum(taken.subMap(from, from + 8_000))).isLessThanOrEqualTo(limit + limit / 10);
        }
    }

    @Test
    void prefersTheReportsOfARunningNodeToTheRecord() {
        Cluster cluster = new Cluster(2);
        cluster.ask(12_000, 10);
        Optional<UsageRecord> record = cluster.at(1).usageRecord(cluster.now);
        NodeId again = new NodeId("n1");
        cluster.states.put(again, ShareState.initial(RULES));
        cluster.deliver(again, new PlatformEvent.Listed(List.of(), cluster.peers()));
        for (Effect effect : cluster.deliver(again, new Lifecycle.Started())) {
            if (effect instanceof PlatformEffect.Get get) {
                PlatformEvent.Entry entry = new PlatformEvent.Entry(
                        get.key(), Optional.of(record.orElseThrow().serialize()), 7);
                cluster.deliver(again, new PlatformEvent.Found(get.tag(), Optional.of(entry), 9));
            }
        }
        cluster.tick();
        long window = (WALL + cluster.now) / 5_000;
        assertThat(cluster.at(1).begunRequests(window)).isEqualTo(cluster.at(0).begunRequests(window));
        assertThat(cluster.spend(1, 500)).isTrue();
    }

    @Test
    void keepsUsageWindowsAcrossARestartOfAllNodes() {
        Cluster cluster = new Cluster(2);
        for (int i = 0; i < 40; i++) {
            cluster.tick();
            cluster.deliver(new NodeId("n0"), new ShareEvent.Begun(TEAM, cluster.now));
        }
        cluster.tick();
        long window = (WALL + cluster.now) / 5_000 - 1;
        java.util.Map<TeamId, Long> before = cluster.at(1).begunRequests(window);
        Optional<UsageRecord> record = cluster.at(1).usageRecord(cluster.now);
        cluster.restartAll(1_000, record);
        cluster.tick();
        assertThat(before.get(TEAM)).isPositive();
        assertThat(cluster.at(0).begunRequests(window)).isEqualTo(before);
    }

    @Test
    void parsesASerializedRecord() {
        UsageRecord record = new UsageRecord(WALL, Map.of(TEAM, 12L), Map.of(3L, Map.of(TEAM, 4L)));
        assertThat(UsageRecord.parse(record.serialize())).contains(record);
        assertThat(UsageRecord.parse("")).isEmpty();
        assertThat(UsageRecord.parse("time\t")).isEmpty();
        assertThat(UsageRecord.parse("time\t12\nspent\ta\tb")).isEmpty();
    }

    private static long sum(Map<Long, Long> taken) {
        return taken.values().stream().mapToLong(v -> v).sum();
    }
}
