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
import org.fuchsiadeck.core.LifecycleEvent;
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
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.share.ShareReducer;
import org.fuchsiadeck.core.share.ShareReport;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.core.share.ShareState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against nodes that drop live servers because their entries expired in an outage of the platform's service, and
 * against nodes that keep servers that have left.
 */
class DirectoryReducerTest {
    private static final Identity SELF = new Identity(new NodeId("n1"), new Zone("z"), new Address("10.0.0.1", 1), 1);

    /** A leaving server must get no new requests after this time. */
    private static final long DRAIN_MS = 2_000;

    /** Part of that time for the service's answer and for requests that are being forwarded. */
    private static final long ANSWER_MS = 50;

    private static final Configuration CONFIG = new Configuration(1, Policy.DEFAULT, List.of(), List.of(), List.of());

    private final DirectoryReducer reducer = new DirectoryReducer(DirectoryReducerTest::decode);
    private DirectoryState state = DirectoryState.initial();
    private long now;
    private Peers peers = Peers.NONE;
    private Configuration config = CONFIG;
    private ShareState use = ShareState.initial(ShareRules.DEFAULT);
    private PlatformEffect nodesCall;
    private PlatformEffect serversCall;
    private PlatformEffect leaseCall;
    private PlatformEvent.Listed lastListed;
    private int unreadable;
    private int notifications;

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

    private void apply(Event event) {
        View view =
                new View(SELF, now, now, config, VersionShares.NONE, peers, use, Map::of, QuarantineState.initial());
        Step<DirectoryState> step = reducer.reduce(state, view, event);
        state = step.state();
        for (Effect effect : step.effects()) {
            if (effect instanceof Effect.Send send && send.message() instanceof DirectoryMessage.Departures) {
                notifications++;
            } else if (effect instanceof PlatformEffect call && call.tag().startsWith("mirror/servers/")) {
                serversCall = call;
            } else if (effect instanceof PlatformEffect call && call.tag().startsWith("mirror/nodes/")) {
                nodesCall = call;
            } else if (effect instanceof PlatformEffect call && call.tag().startsWith("lease/")) {
                leaseCall = call;
            } else if (effect instanceof Effect.Raise raise && raise.event() instanceof PlatformEvent.Listed listed) {
                lastListed = listed;
            } else if (effect instanceof Effect.Log log && log.code() == EventCode.BACKEND_UNREADABLE) {
                unreadable++;
            }
        }
    }

    private void tickUntil(long untilMs) {
        while (now < untilMs) {
            now += 100;
            apply(new DirectoryEvent.Tick());
        }
    }

    private static PlatformEvent.Entry entry(String id, String value, long revision) {
        return new PlatformEvent.Entry("servers/" + id, Optional.ofNullable(value), revision);
    }

    private void answerListing(long revision, PlatformEvent.Entry... entries) {
        apply(new PlatformEvent.KeysListed(serversCall.tag(), List.of(entries), revision));
    }

    private List<String> listedServers() {
        return lastListed.backends().stream().map(b -> b.id().value()).sorted().toList();
    }

    @BeforeEach
    void start() {
        apply(new LifecycleEvent.Started());
        answerListing(10, entry("a", "ready", 5), entry("b", "ready", 6));
    }

    @Test
    void skipsUnreadableEntriesAndKeepsTheOthers() {
        apply(new PlatformEvent.Watched(
                serversCall.tag(), List.of(entry("c", "??", 11), entry("d", "ready", 12)), 12, false));
        assertThat(listedServers()).containsExactly("a", "b", "d");
    }

    @Test
    void logsAnUnreadableEntryOnceForEachRevision() {
        answerNextWatch(11, entry("c", "??", 11));
        answerNextWatch(12, entry("d", "ready", 12));
        assertThat(unreadable).isEqualTo(1);
        answerNextWatch(13, entry("c", "?", 13));
        assertThat(unreadable).isEqualTo(2);
    }

    /**
     * The service is down for 6 s while this node's watch waits for 30 s, so only the missing renewals of the node's own entry
     * and the missing answers of its peers show the outage.
     */
    @Test
    void keepsServersThatExpiredInAnOutageDuringALongWatch() {
        TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
        for (int i = 0; i < 20; i++) {
            NodeId id = new NodeId("peer-" + i);
            others.put(id, new Peers.Peer(id, new Address("10.0.0.3", 1 + i), new Zone("z")));
        }
        peers = new Peers(others);
        assertThat(peers.rankInZone(SELF)).isPositive();
        apply(new PlatformEvent.LeaseGranted(leaseCall.tag(), "7"));
        apply(new PlatformEvent.Written(leaseCall.tag(), 9));
        answerNextWatch(11, entry("c", "ready", 11));
        tickUntil(now + 1_700);
        assertThat(((PlatformEffect.Watch) serversCall).waitMs()).isGreaterThan(20_000);
        PlatformEffect waiting = serversCall;
        tickUntil(now + 6_000);
        assertThat(serversCall).isNotSameAs(waiting);
        PlatformEffect unanswered = serversCall;
        while (serversCall == unanswered) {
            tickUntil(now + 50);
        }
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry("a", null, 12)), 12, false));
        assertThat(listedServers()).containsExactly("a", "b", "c");
        tickUntil(now + 3_000);
        assertThat(listedServers()).containsExactly("b", "c");
    }

    /** The service rejects only this node for 6 s and a server leaves meanwhile, which must not be taken for an outage. */
    @Test
    void removesAServerThatLeftWhileOnlyThisNodeWasCutOff() {
        tickUntil(6_000);
        while (!(serversCall instanceof PlatformEffect.Watch)) {
            tickUntil(now + 100);
        }
        receiveReport(true);
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry("a", null, 11)), 11, false));
        assertThat(listedServers()).containsExactly("b");
    }

    /** Every node sees the removal at a revision of its own, and passed each of them on to its peers. */
    @Test
    void notifiesPeersOnceOfARemovalThatIsReportedAtSeveralRevisions() {
        NodeId peer = new NodeId("n2");
        peers = new Peers(new TreeMap<>(Map.of(peer, new Peers.Peer(peer, new Address("10.0.0.3", 1), new Zone("z")))));
        answerNextWatch(12, entry("a", null, 12));
        assertThat(notifications).isEqualTo(1);
        for (long revision = 13; revision < 20; revision++) {
            List<DirectoryMessage.DepartedBackend> removed =
                    List.of(new DirectoryMessage.DepartedBackend("servers/a", revision, true));
            apply(new PeerReceived(
                    peer,
                    new DirectoryMessage.Departures(
                            DirectoryMessage.Departures.UNASKED, revision, revision, 0, removed)));
        }
        assertThat(notifications).isEqualTo(1);
    }

    /** A peer is ahead of this node, whose watch shows the removal first and the server's next registration after it. */
    @Test
    void listsAServerThatRegisteredAgainBeforeThePeersRevision() {
        apply(new PeerReceived(
                new NodeId("n2"),
                new DirectoryMessage.Departures(DirectoryMessage.Departures.UNASKED, 10, 20, 0, List.of())));
        answerNextWatch(12, entry("a", null, 12));
        assertThat(listedServers()).containsExactly("b");
        answerNextWatch(15, entry("a", "ready", 15));
        assertThat(listedServers()).containsExactly("a", "b");
    }

    @Test
    void removesHeldServersOnceAPeerReportsThatItWasServed() {
        tickUntil(6_000);
        while (!(serversCall instanceof PlatformEffect.Watch)) {
            tickUntil(now + 100);
        }
        receiveReport(false);
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry("a", null, 11)), 11, false));
        assertThat(listedServers()).containsExactly("a", "b");
        receiveReport(true);
        tickUntil(now + 300);
        assertThat(listedServers()).containsExactly("b");
    }

    @Test
    void isServedOnlyOnceExpiredEntriesHadTimeToReturn() {
        apply(new PlatformEvent.LeaseGranted(leaseCall.tag(), "7"));
        apply(new PlatformEvent.Written(leaseCall.tag(), 9));
        tickUntil(now + 300);
        assertThat(state.served()).isTrue();
        tickUntil(now + 6_000);
        assertThat(state.served()).isFalse();
        while (!(serversCall instanceof PlatformEffect.Watch)) {
            tickUntil(now + 100);
        }
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(), 11, false));
        tickUntil(now + 300);
        assertThat(state.served()).isFalse();
    }

    /** Receives a peer's report. */
    private void receiveReport(boolean served) {
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
                true,
                Map.of(ShareReport.SERVED, served ? 1L : 0L),
                Map.of());
        View view =
                new View(SELF, now, now, config, VersionShares.NONE, peers, use, Map::of, QuarantineState.initial());
        use = new ShareReducer()
                .reduce(use, view, new PeerReceived(new NodeId("n2"), report))
                .state();
    }

    private void answerNextWatch(long revision, PlatformEvent.Entry entry) {
        tickUntil(now + 200);
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry), revision, false));
    }

    @Test
    void removesAServerWhoseEntryIsDeleted() {
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry("a", null, 11)), 11, false));
        assertThat(listedServers()).containsExactly("b");
    }

    @Test
    void keepsServersWhoseEntriesExpiredInAnOutageUntilTheyHadTimeToReturn() {
        tickUntil(6_000);
        while (!(serversCall instanceof PlatformEffect.Watch)) {
            tickUntil(now + 100);
        }
        apply(new PlatformEvent.Watched(
                serversCall.tag(), List.of(entry("a", null, 11), entry("b", null, 12)), 12, false));
        assertThat(listedServers()).containsExactly("a", "b");
        long answeredMs = now;
        tickUntil(answeredMs + 1_000);
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry("b", "ready", 13)), 13, false));
        assertThat(listedServers()).containsExactly("a", "b");
        tickUntil(answeredMs + 3_000);
        assertThat(listedServers()).containsExactly("b");
    }

    /** Guards against a slow start when all nodes start together after a power failure, each with little processor time. */
    @Test
    void readsServersFirstAndNodesOnceTheConfigurationIsKnown() {
        startWithoutConfiguration();
        assertThat(serversCall).isNotNull();
        tickUntil(now + 500);
        assertThat(nodesCall).isNull();
        assertThat(leaseCall).isNull();
        config = CONFIG;
        tickUntil(now + 100);
        assertThat(nodesCall).isNotNull();
        assertThat(leaseCall).isNotNull();
    }

    @Test
    void readsNodesAfterAWhileWithoutAConfiguration() {
        startWithoutConfiguration();
        tickUntil(now + 1_100);
        assertThat(nodesCall).isNotNull();
        assertThat(leaseCall).isNotNull();
    }

    private void startWithoutConfiguration() {
        config = Configuration.NONE;
        state = DirectoryState.initial();
        serversCall = null;
        nodesCall = null;
        leaseCall = null;
        apply(new LifecycleEvent.Started());
    }

    /** A connection may break as soon as a watch is sent over it, and a server may start to leave at that moment. */
    @Test
    void retriesASilentWatchWithinTheDrainTime() {
        PlatformEffect silent = serversCall;
        long sentMs = now;
        while (serversCall == silent) {
            tickUntil(now + 100);
        }
        assertThat(now - sentMs).isLessThan(DRAIN_MS - ANSWER_MS);
    }

    @Test
    void marksAServerThatLeavesAfterAnOutage() {
        tickUntil(6_000);
        apply(new PlatformEvent.Watched(serversCall.tag(), List.of(entry("a", "leaving", 11)), 11, false));
        assertThat(lastListed.backends())
                .filteredOn(b -> b.id().value().equals("a"))
                .allMatch(Backend::leaving);
    }
}
