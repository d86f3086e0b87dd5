package org.fuchsiadeck.core.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.Position;
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.share.ShareEvent;
import org.fuchsiadeck.core.share.ShareReducer;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareState;
import org.fuchsiadeck.core.share.UsageRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates nodes and a key-value service with leases on one manual clock. Guards against two leaders that act at the
 * same time, such as after a pause of a process, and against two different reports of one usage window.
 */
class DutyReducerTest {
    private static final Configuration CONFIG = new Configuration(1, Policy.DEFAULT, List.of(), List.of(), List.of());
    private static final DutyRules RULES = new DutyRules(3_000, 5_000, 10_000);
    private static final long START_WALL_MS = 1_000_000_000L;

    private final Map<NodeId, SimulatedNode> nodes = new TreeMap<>();
    private final Map<String, PlatformEvent.Entry> keys = new TreeMap<>();
    private final Map<String, Long> leases = new HashMap<>();
    private final Map<String, String> leaseOf = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private long revision = 10;
    private long now;
    private boolean platformDown;

    private record Call(NodeId from, long atMs, DutyEffect effect) {}

    private final class SimulatedNode {
        final NodeId id;
        final long startedMs = now;
        DutyState duties = DutyState.initial(RULES);
        ShareState share = ShareState.initial(ShareRules.DEFAULT);
        long pausedMs;
        boolean paused;

        SimulatedNode(NodeId id) {
            this.id = id;
        }

        View view() {
            TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
            nodes.keySet().stream()
                    .filter(n -> !n.equals(id))
                    .forEach(n -> others.put(n, new Peers.Peer(n, new Address("h", 1), new Zone("z"))));
            Identity self = new Identity(
                    id, new Zone("z"), new Address("h", 1), id.value().hashCode());
            return new View(
                    self,
                    now - pausedMs,
                    START_WALL_MS + now,
                    CONFIG,
                    VersionShares.NONE,
                    new Peers(others),
                    share,
                    Map::of,
                    QuarantineState.initial());
        }

        void handle(Event event) {
            share = new ShareReducer().reduce(share, view(), event).state();
            Step<DutyState> step = new DutyReducer().reduce(duties, view(), event);
            duties = step.state();
            step.effects().forEach(this::run);
        }

        void run(Effect effect) {
            if (effect instanceof DutyEffect call) {
                calls.add(new Call(id, now, call));
                handle(new DutyEvent.Called(call.tag(), DutyEvent.Result.DONE, "ok"));
            } else if (effect instanceof PlatformEffect call && !platformDown) {
                answer(call);
            }
        }

        void answer(PlatformEffect call) {
            if (call instanceof PlatformEffect.ListKeys list) {
                List<PlatformEvent.Entry> found = keys.values().stream()
                        .filter(e -> e.key().startsWith(list.prefix()))
                        .toList();
                handle(new PlatformEvent.KeysListed(list.tag(), found, revision));
            } else if (call instanceof PlatformEffect.GrantLease grant) {
                String lease = "lease-" + ++revision;
                leases.put(lease, now + grant.ttlMs());
                handle(new PlatformEvent.LeaseGranted(grant.tag(), lease));
            } else if (call instanceof PlatformEffect.RenewLease renew) {
                boolean lasts = leases.getOrDefault(renew.lease(), 0L) > now;
                if (lasts) {
                    leases.put(renew.lease(), now + RULES.leaseMs());
                }
                handle(new PlatformEvent.LeaseRenewed(renew.tag(), lasts));
            } else if (call instanceof PlatformEffect.LeasedPut put) {
                write(put.tag(), put.key(), put.value(), put.expectedRevision());
                leaseOf.putIfAbsent(put.key(), put.lease());
            } else if (call instanceof PlatformEffect.Put put) {
                write(put.tag(), put.key(), put.value(), put.expectedRevision());
            }
        }

        void write(String tag, String key, String value, OptionalLong expected) {
            long current = keys.containsKey(key) ? keys.get(key).revision() : 0;
            if (expected.isPresent() && expected.getAsLong() != current) {
                handle(new PlatformEvent.Conflicted(tag, current));
                return;
            }
            keys.put(key, new PlatformEvent.Entry(key, Optional.of(value), ++revision));
            handle(new PlatformEvent.Written(tag, revision));
        }
    }

    private void start(String... names) {
        for (String name : names) {
            nodes.put(new NodeId(name), new SimulatedNode(new NodeId(name)));
        }
        nodes.values().forEach(p -> p.handle(new LifecycleEvent.Started()));
    }

    private void run(long ms) {
        long until = now + ms;
        while (now < until) {
            now += 100;
            leaseOf.entrySet().removeIf(e -> {
                boolean expired = leases.getOrDefault(e.getValue(), 0L) <= now;
                if (expired) {
                    keys.remove(e.getKey());
                    revision++;
                }
                return expired;
            });
            for (SimulatedNode node : List.copyOf(nodes.values())) {
                if (node.paused) {
                    node.pausedMs += 100;
                    continue;
                }
                if (!platformDown) {
                    sync(node);
                }
                node.handle(new ShareEvent.Begun(new TeamId("t"), now - node.pausedMs));
                node.handle(new DutyEvent.Tick());
            }
        }
    }

    /** Completes the watch in progress of a node with all keys and deletions. */
    private void sync(SimulatedNode node) {
        node.duties.keys().call().filter(c -> c.tag().contains("watch")).ifPresent(c -> {
            List<PlatformEvent.Entry> changes = new ArrayList<>(keys.values());
            for (String known : node.duties.keys().items().keySet()) {
                if (!keys.containsKey(known)) {
                    changes.add(new PlatformEvent.Entry(known, Optional.empty(), revision));
                }
            }
            changes.removeIf(e -> !e.key().startsWith("duty/"));
            node.handle(new PlatformEvent.Watched(c.tag(), changes, revision, false));
        });
    }

    private void assertOneLeaderAtATime() {
        long fencingToken = 0;
        NodeId leader = null;
        long lastMs = 0;
        for (Call call : calls) {
            assertThat(call.effect().fencingToken()).isGreaterThanOrEqualTo(fencingToken);
            if (leader != null && !leader.equals(call.from())) {
                assertThat(call.effect().fencingToken()).isGreaterThan(fencingToken);
                assertThat(call.atMs() - lastMs).isGreaterThan(0);
            }
            fencingToken = call.effect().fencingToken();
            leader = call.from();
            lastMs = call.atMs();
        }
    }

    private Map<Long, List<Map<TeamId, Long>>> reports() {
        Map<Long, List<Map<TeamId, Long>>> all = new TreeMap<>();
        for (Call call : calls) {
            if (call.effect() instanceof DutyEffect.ReportUsage report) {
                all.computeIfAbsent(report.window(), w -> new ArrayList<>()).add(report.counts());
            }
        }
        return all;
    }

    @Test
    void leaderWritesUsageRecord() {
        start("a", "b");
        run(12_000);
        UsageRecord record = UsageRecord.parse(keys.get(UsageRecord.KEY).value().orElseThrow())
                .orElseThrow();
        assertThat(START_WALL_MS + now - record.wallMs()).isBetween(0L, 1_200L);
    }

    @Test
    void onlyFirstLeaderActsWithoutWaiting() {
        start("a", "b");
        run(1_000);
        assertThat(actingNodes()).hasSize(1);
        nodes.remove(actingNodes().get(0));
        SimulatedNode other = nodes.values().iterator().next();
        long heldMs = -1;
        for (int i = 0; i < 200 && actingNodes().isEmpty(); i++) {
            run(100);
            heldMs = heldMs < 0 && other.duties.holding().isLeader(other.view()) ? now : heldMs;
        }
        assertThat(actingNodes()).hasSize(1);
        assertThat(now - heldMs).isGreaterThanOrEqualTo(RULES.leaseMs());
    }

    private List<NodeId> actingNodes() {
        return nodes.values().stream()
                .filter(n -> n.duties.mayAct(n.view()))
                .map(n -> n.id)
                .toList();
    }

    @Test
    void reportsEachWindowOnce() {
        start("a", "b", "c");
        run(40_000);
        assertOneLeaderAtATime();
        assertThat(reports().keySet()).hasSizeGreaterThanOrEqualTo(6);
        assertThat(reports().values()).allMatch(r -> r.size() == 1);
    }

    @Test
    void newLeaderTakesOverAndReportsSameCounts() {
        start("a", "b", "c");
        run(20_000);
        NodeId leader = calls.get(calls.size() - 1).from();
        nodes.remove(leader);
        int before = calls.size();
        run(20_000);
        assertOneLeaderAtATime();
        assertThat(calls.size()).isGreaterThan(before);
        assertThat(reports().values()).allMatch(r -> r.stream().distinct().count() == 1);
    }

    @Test
    void pausedLeaderDoesNotActOnExpiredLease() {
        start("a", "b", "c");
        run(20_000);
        SimulatedNode leader = nodes.get(calls.get(calls.size() - 1).from());
        leader.paused = true;
        run(9_000);
        leader.paused = false;
        run(20_000);
        assertOneLeaderAtATime();
    }

    /** The copy lacks the counts of windows that were reported, and the new leader has not reported them itself. */
    @Test
    void countsNoWindowAgainThatMayHaveBeenReportedBeforeTheServiceWentBack() {
        start("a", "b", "c");
        run(12_000);
        Map<String, PlatformEvent.Entry> copy = new TreeMap<>(keys);
        long copiedRevision = revision;
        run(10_000);
        Set<Long> before = Set.copyOf(reports().keySet());
        int callsBefore = calls.size();
        nodes.remove(calls.get(callsBefore - 1).from());
        keys.clear();
        copy.forEach((key, entry) ->
                keys.put(key, new PlatformEvent.Entry(key, entry.value(), Position.of(1, entry.revision()))));
        revision = Position.of(1, copiedRevision);
        leases.clear();
        run(30_000);
        assertOneLeaderAtATime();
        Set<Long> after = new HashSet<>();
        calls.subList(callsBefore, calls.size()).stream()
                .map(Call::effect)
                .filter(DutyEffect.ReportUsage.class::isInstance)
                .forEach(e -> after.add(((DutyEffect.ReportUsage) e).window()));
        assertThat(after).hasSizeGreaterThanOrEqualTo(3).doesNotContainAnyElementsOf(before);
    }

    @Test
    void catchesUpAfterPlatformOutage() {
        start("a", "b");
        run(12_000);
        platformDown = true;
        run(6_000);
        int before = calls.size();
        platformDown = false;
        run(15_000);
        assertOneLeaderAtATime();
        assertThat(calls.size()).isGreaterThan(before);
        assertThat(reports().values()).allMatch(r -> r.stream().distinct().count() == 1);
    }
}
