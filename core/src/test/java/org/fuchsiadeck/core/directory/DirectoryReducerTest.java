package org.fuchsiadeck.core.directory;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.share.ShareReducer;
import org.fuchsiadeck.core.share.ShareReport;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DirectoryReducerTest {
    private static final Identity SELF = new Identity(new NodeId("n1"), new Zone("z"), new Address("10.0.0.1", 1), 1);

    /** A server that leaves gets no new work after this time. */
    private static final long DRAIN_MS = 2_000;

    /** What is left for the answer of the service and for the requests that are being passed on. */
    private static final long ANSWER_MS = 50;

    private static final Configuration CONFIG = new Configuration(1, Policy.DEFAULT, List.of(), List.of(), List.of());

    private final DirectoryReducer reducer = new DirectoryReducer(DirectoryReducerTest::decode);
    private DirectoryState state = DirectoryState.initial();
    private long now;
    private Peers peers = Peers.NONE;
    private Configuration config = CONFIG;
    private ShareState use = ShareState.initial(ShareRules.DEFAULT);
    private PlatformEffect nodes;
    private PlatformEffect servers;
    private PlatformEffect lease;
    private PlatformEvent.Listed listed;
    private int unreadable;

    private static Either<String, BackendDecoder.BackendEntry> decode(String id, String value) {
        if (!value.equals("ready") && !value.equals("leaving")) {
            return Either.left("torn");
        }
        Backend backend = new Backend(
                new BackendId(id),
                new Address("10.0.0.2", 1),
                new Zone("z"),
                Backend.Kind.APPLICATION,
                "app",
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                1,
                1,
                false,
                value.equals("leaving"));
        return Either.right(new BackendDecoder.BackendEntry(backend, OptionalLong.empty()));
    }

    private void take(Event event) {
        View view = new View(SELF, now, now, config, VersionShares.NONE, peers, use, Map::of);
        Step<DirectoryState> step = reducer.reduce(state, view, event);
        state = step.state();
        for (Effect effect : step.effects()) {
            if (effect instanceof PlatformEffect call && call.tag().startsWith("mirror/servers/")) {
                servers = call;
            } else if (effect instanceof PlatformEffect call && call.tag().startsWith("mirror/nodes/")) {
                nodes = call;
            } else if (effect instanceof PlatformEffect call && call.tag().startsWith("lease/")) {
                lease = call;
            } else if (effect instanceof Effect.Raise raise && raise.event() instanceof PlatformEvent.Listed now) {
                listed = now;
            } else if (effect instanceof Effect.Log log && log.code() == EventCode.BACKEND_UNREADABLE) {
                unreadable++;
            }
        }
    }

    private void tick(long untilMs) {
        while (now < untilMs) {
            now += 100;
            take(new DirectoryEvent.Tick());
        }
    }

    private static PlatformEvent.Entry entry(String id, String value, long revision) {
        return new PlatformEvent.Entry("servers/" + id, Optional.ofNullable(value), revision);
    }

    private void list(long revision, PlatformEvent.Entry... entries) {
        take(new PlatformEvent.KeysListed(servers.tag(), List.of(entries), revision));
    }

    private List<String> names() {
        return listed.backends().stream().map(b -> b.id().value()).sorted().toList();
    }

    @BeforeEach
    void start() {
        take(new Lifecycle.Started());
        list(10, entry("a", "ready", 5), entry("b", "ready", 6));
    }

    @Test
    void skipsUnreadableEntriesAndKeepsTheOthers() {
        take(new PlatformEvent.Watched(
                servers.tag(), List.of(entry("c", "??", 11), entry("d", "ready", 12)), 12, false));
        assertThat(names()).containsExactly("a", "b", "d");
    }

    @Test
    void logsAnUnreadableEntryOnceForEachRevision() {
        watched(11, entry("c", "??", 11));
        watched(12, entry("d", "ready", 12));
        assertThat(unreadable).isEqualTo(1);
        watched(13, entry("c", "?", 13));
        assertThat(unreadable).isEqualTo(2);
    }

    /** The store is down for six seconds while this node's watch waits for thirty. */
    @Test
    void keepsServersThatLapsedInAnOutageThatTheLongWatchDidNotNotice() {
        TreeMap<NodeId, Peers.Peer> many = new TreeMap<>();
        for (int i = 0; i < 20; i++) {
            NodeId id = new NodeId("peer-" + i);
            many.put(id, new Peers.Peer(id, new Address("10.0.0.3", 1 + i), new Zone("z")));
        }
        peers = new Peers(many);
        assertThat(peers.rankInZone(SELF)).isPositive();
        take(new PlatformEvent.LeaseGranted(lease.tag(), "7"));
        take(new PlatformEvent.Written(lease.tag(), 9));
        watched(11, entry("c", "ready", 11));
        tick(now + 1_700);
        assertThat(((PlatformEffect.Watch) servers).waitMs()).isGreaterThan(20_000);
        PlatformEffect waiting = servers;
        tick(now + 6_000);
        assertThat(servers).isSameAs(waiting);
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("a", null, 12)), 12, false));
        assertThat(names()).containsExactly("a", "b", "c");
        tick(now + 3_000);
        assertThat(names()).containsExactly("b", "c");
    }

    /** The store turns this node away for six seconds and serves the others; a server leaves meanwhile. */
    @Test
    void removesAServerThatLeftWhileOnlyThisNodeWasCutOff() {
        tick(6_000);
        while (!(servers instanceof PlatformEffect.Watch)) {
            tick(now + 100);
        }
        hear(true);
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("a", null, 11)), 11, false));
        assertThat(names()).containsExactly("b");
    }

    @Test
    void removesHeldServersOnceAPeerReportsThatItWasServed() {
        tick(6_000);
        while (!(servers instanceof PlatformEffect.Watch)) {
            tick(now + 100);
        }
        hear(false);
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("a", null, 11)), 11, false));
        assertThat(names()).containsExactly("a", "b");
        hear(true);
        tick(now + 300);
        assertThat(names()).containsExactly("b");
    }

    @Test
    void isServedOnlyOnceLapsedEntriesHadTimeToReturn() {
        take(new PlatformEvent.LeaseGranted(lease.tag(), "7"));
        take(new PlatformEvent.Written(lease.tag(), 9));
        tick(now + 300);
        assertThat(state.served()).isTrue();
        tick(now + 6_000);
        assertThat(state.served()).isFalse();
        while (!(servers instanceof PlatformEffect.Watch)) {
            tick(now + 100);
        }
        take(new PlatformEvent.Watched(servers.tag(), List.of(), 11, false));
        tick(now + 300);
        assertThat(state.served()).isFalse();
    }

    /** Takes a peer's report. */
    private void hear(boolean served) {
        ShareReport report = new ShareReport(
                now,
                0,
                now,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(ShareReport.SERVED, served ? 1L : 0L));
        View view = new View(SELF, now, now, config, VersionShares.NONE, peers, use, Map::of);
        use = new ShareReducer()
                .reduce(use, view, new PeerReceived(new NodeId("n2"), report))
                .state();
    }

    private void watched(long revision, PlatformEvent.Entry entry) {
        tick(now + 200);
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry), revision, false));
    }

    @Test
    void removesAServerWhoseEntryIsDeleted() {
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("a", null, 11)), 11, false));
        assertThat(names()).containsExactly("b");
    }

    @Test
    void keepsServersWhoseEntriesLapsedInAnOutageUntilTheyHadTimeToReturn() {
        tick(6_000);
        while (!(servers instanceof PlatformEffect.Watch)) {
            tick(now + 100);
        }
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("a", null, 11), entry("b", null, 12)), 12, false));
        assertThat(names()).containsExactly("a", "b");
        long back = now;
        tick(back + 1_000);
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("b", "ready", 13)), 13, false));
        assertThat(names()).containsExactly("a", "b");
        tick(back + 3_000);
        assertThat(names()).containsExactly("b");
    }

    /** All nodes start at once after a loss of power, each with little processor time. */
    @Test
    void readsServersFirstAndNodesOnceTheConfigurationIsKnown() {
        startAnew();
        assertThat(servers).isNotNull();
        tick(now + 500);
        assertThat(nodes).isNull();
        assertThat(lease).isNull();
        config = CONFIG;
        tick(now + 100);
        assertThat(nodes).isNotNull();
        assertThat(lease).isNotNull();
    }

    @Test
    void readsNodesAfterAWhileWithoutAConfiguration() {
        startAnew();
        tick(now + 1_100);
        assertThat(nodes).isNotNull();
        assertThat(lease).isNotNull();
    }

    private void startAnew() {
        config = Configuration.NONE;
        state = DirectoryState.initial();
        servers = null;
        nodes = null;
        lease = null;
        take(new Lifecycle.Started());
    }

    /** A connection may go silent as soon as a watch is sent over it, and a server may leave just then. */
    @Test
    void retriesASilentWatchWithinTheDrainTime() {
        PlatformEffect silent = servers;
        long sentMs = now;
        while (servers == silent) {
            tick(now + 100);
        }
        assertThat(now - sentMs).isLessThan(DRAIN_MS - ANSWER_MS);
    }

    @Test
    void marksAServerThatLeavesAfterAnOutage() {
        tick(6_000);
        take(new PlatformEvent.Watched(servers.tag(), List.of(entry("a", "leaving", 11)), 11, false));
        assertThat(listed.backends())
                .filteredOn(b -> b.id().value().equals("a"))
                .allMatch(Backend::leaving);
    }
}
