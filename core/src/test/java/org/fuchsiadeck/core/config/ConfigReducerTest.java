package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a node that applies an older or unusable configuration, misses a change in the key-value service or at
 * a peer, or becomes ready before it has the newest configuration. Covers calls, messages and logs for single events.
 */
class ConfigReducerTest {
    private static final Identity SELF =
            new Identity(new NodeId("sur-1"), new Zone("sur"), new Address("127.0.0.1", 1), 7);
    private static final NodeId PEER = new NodeId("norte-1");

    private final ConfigReducer reducer = new ConfigReducer();
    private final TreeMap<NodeId, Peers.Peer> peers = new TreeMap<>();
    private ConfigState state = ConfigState.initial();
    private long now = 1_000;

    private List<Effect> reduce(Event event) {
        View view = new View(SELF, now, now, state.current(), VersionShares.NONE, new Peers(peers));
        Step<ConfigState> step = reducer.reduce(state, view, event);
        state = step.state();
        return step.effects();
    }

    private static <T> List<T> ofType(List<Effect> effects, Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static PlatformEvent.Entry entry(long revision) {
        return new PlatformEvent.Entry(ConfigReducer.KEY, Optional.of("v" + revision), revision);
    }

    private static ConfigEvent.Parsed parsed(long revision) {
        Configuration configuration = new Configuration(revision, Policy.DEFAULT, List.of(), List.of(), List.of());
        return new ConfigEvent.Parsed(configuration, "v" + revision, "platform");
    }

    private void addPeer(String id) {
        NodeId node = new NodeId(id);
        peers.put(node, new Peers.Peer(node, new Address("127.0.0.1", 2), new Zone(id.split("-")[0])));
    }

    private String lastCall() {
        return state.reading().call().orElseThrow().tag();
    }

    private List<Effect> startedWith(long revision) {
        reduce(new LifecycleEvent.Started());
        reduce(new PlatformEvent.Found(lastCall(), Optional.of(entry(revision)), revision));
        return reduce(parsed(revision));
    }

    @Test
    void readsKeyAndThenWatchesAfterServiceRevision() {
        assertThat(ofType(reduce(new LifecycleEvent.Started()), PlatformEffect.class))
                .containsExactly(new PlatformEffect.Get("config/read/1", ConfigReducer.KEY));
        List<Effect> effects = reduce(new PlatformEvent.Found(lastCall(), Optional.of(entry(5)), 9));
        assertThat(effects)
                .containsExactly(
                        new ConfigEffect.Parse(5, "v5", "platform"),
                        new PlatformEffect.Watch("config/watch/2", ConfigReducer.KEY, 9, 2_000));
        assertThat(state.unready())
                .containsExactly("no configuration is known", "configuration 5 is not in force here yet");
        assertThat(ofType(reduce(parsed(5)), Effect.Log.class))
                .containsExactly(
                        new Effect.Log(EventCode.CONFIG_APPLIED, "revision 5 from platform", Map.of("arrived_ms", 0L)));
        assertThat(state.unready()).isEmpty();
    }

    @Test
    void appliesOnlyHigherRevisions() {
        startedWith(5);
        assertThat(reduce(parsed(4))).isEmpty();
        assertThat(reduce(parsed(5))).isEmpty();
        assertThat(state.current().revision()).isEqualTo(5);
        reduce(new PlatformEvent.Watched(lastCall(), List.of(entry(3)), 9, false));
        assertThat(state.candidate().parsing()).isEqualTo(5);
    }

    @Test
    void keepsConfigurationWhenKeyIsDeleted() {
        startedWith(5);
        PlatformEvent.Entry deleted = new PlatformEvent.Entry(ConfigReducer.KEY, Optional.empty(), 6);
        List<Effect> effects = reduce(new PlatformEvent.Watched(lastCall(), List.of(deleted), 6, false));
        assertThat(ofType(effects, ConfigEffect.class)).isEmpty();
        assertThat(state.current().revision()).isEqualTo(5);
    }

    @Test
    void readsKeyAgainAfterGapOrStaleWatchResult() {
        startedWith(5);
        reduce(new PlatformEvent.Watched(lastCall(), List.of(), 9, true));
        now += 600;
        assertThat(ofType(reduce(new ConfigEvent.Tick()), PlatformEffect.Get.class))
                .hasSize(1);
        reduce(new PlatformEvent.Found(lastCall(), Optional.of(entry(5)), 20));
        reduce(new PlatformEvent.Watched(lastCall(), List.of(), 19, false));
        now += 600;
        assertThat(ofType(reduce(new ConfigEvent.Tick()), PlatformEffect.Get.class))
                .hasSize(1);
    }

    @Test
    void startsNewCallAfterTimeOutAndUsesLateResult() {
        reduce(new LifecycleEvent.Started());
        String first = lastCall();
        now += 3_000;
        reduce(new ConfigEvent.Tick());
        now += 1_000;
        reduce(new ConfigEvent.Tick());
        assertThat(lastCall()).isNotEqualTo(first);
        assertThat(ofType(reduce(new PlatformEvent.Found(first, Optional.of(entry(5)), 9)), ConfigEffect.class))
                .hasSize(1);
    }

    @Test
    void rejectsUnusableValueOnceAndKeepsConfiguration() {
        startedWith(5);
        reduce(new PlatformEvent.Watched(lastCall(), List.of(entry(6)), 6, false));
        List<Effect> effects = reduce(new ConfigEvent.Rejected(6, "3:1: unknown key", "platform"));
        assertThat(ofType(effects, Effect.Log.class))
                .containsExactly(
                        new Effect.Log(EventCode.CONFIG_REJECTED, "revision 6 from platform: 3:1: unknown key"));
        assertThat(state.current().revision()).isEqualTo(5);
        assertThat(state.unready()).isEmpty();
        addPeer("norte-1");
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Announce(6))))
                .isEmpty();
    }

    @Test
    void fetchesConfigurationFromPeerThatIsAhead() {
        startedWith(5);
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Announce(6))))
                .containsExactly(new Effect.Send(PEER, new ConfigMessage.Fetch()));
        assertThat(reduce(new PeerReceived(new NodeId("norte-2"), new ConfigMessage.Announce(6))))
                .isEmpty();
        now += 500;
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Announce(6))))
                .hasSize(1);
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Offer(6, "v6"))))
                .containsExactly(new ConfigEffect.Parse(6, "v6", "norte-1"));
    }

    @Test
    void answersPeersThatAreBehind() {
        startedWith(5);
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Announce(4))))
                .containsExactly(new Effect.Send(PEER, new ConfigMessage.Announce(5)));
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Announce(5))))
                .isEmpty();
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Fetch())))
                .containsExactly(new Effect.Send(PEER, new ConfigMessage.Offer(5, "v5")));
        assertThat(reduce(new PeerReceived(PEER, new ConfigMessage.Query())))
                .containsExactly(new Effect.Send(PEER, new ConfigMessage.Announce(5)));
    }

    @Test
    void nodeStartedDuringOutageBecomesReadyAfterTwoPeersAnswer() {
        addPeer("norte-1");
        addPeer("norte-2");
        addPeer("sur-2");
        List<Effect> effects = reduce(new LifecycleEvent.Started());
        assertThat(ofType(effects, Effect.Send.class))
                .filteredOn(s -> s.message() instanceof ConfigMessage.Query)
                .hasSize(3);
        reduce(new PlatformEvent.CallFailed(lastCall(), "outage", true));
        reduce(new PeerReceived(PEER, new ConfigMessage.Announce(5)));
        reduce(parsed(5));
        assertThat(state.unready())
                .containsExactly("the platform's service has not answered, and of 3 peers only 1 have");
        reduce(new PeerReceived(new NodeId("norte-2"), new ConfigMessage.Announce(6)));
        assertThat(state.unready()).containsExactly("configuration 6 is not in force here yet");
        reduce(parsed(6));
        assertThat(state.unready()).isEmpty();
    }

    @Test
    void twoNodesOfEachZoneWatch() {
        List<String> watchers = new ArrayList<>();
        for (int self = 0; self < 10; self++) {
            TreeMap<NodeId, Peers.Peer> others = new TreeMap<>();
            for (int i = 0; i < 10; i++) {
                NodeId id = new NodeId((i < 5 ? "sur-" : "norte-") + i);
                others.put(id, new Peers.Peer(id, new Address("127.0.0.1", 2), new Zone(i < 5 ? "sur" : "norte")));
            }
            Peers.Peer own = others.remove(new NodeId((self < 5 ? "sur-" : "norte-") + self));
            if (Watchers.includes(new Identity(own.id(), own.zone(), own.address(), 1), new Peers(others))) {
                watchers.add(own.zone().value());
            }
        }
        assertThat(watchers).containsExactly("sur", "sur", "norte", "norte");
    }
}
