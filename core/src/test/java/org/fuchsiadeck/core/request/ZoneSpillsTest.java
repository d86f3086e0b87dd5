package org.fuchsiadeck.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.Router;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;

/** Guards against requests that leave their zone without need, unlogged, or by what a node does not know. */
class ZoneSpillsTest {
    private static final Policy SHARED = Policy.DEFAULT.withValues(Map.of("shared_scheduling", 1L));
    private static final int PROMPT_TOKENS = 20_000;

    private final Harness node = new Harness(new RequestReducer(Router.affinity()));
    private final List<String> placed = new ArrayList<>();

    private static Backend engine(String id, String zone) {
        Backend base = Harness.engine(id, "v1");
        return new Backend(
                base.id(),
                base.address(),
                new Zone(zone),
                base.kind(),
                base.service(),
                base.version(),
                base.models(),
                base.adapters(),
                base.roles(),
                base.slots(),
                base.pricePerHour(),
                base.reclaimable(),
                base.leaving());
    }

    private void start(Policy policy) {
        node.policy = policy;
        node.listBackends(engine("near", "howrah"), engine("far", "behala"));
    }

    /** Sends requests with long prompts that share nothing, one every 120 ms, and returns where they were placed. */
    private List<String> send(int count) {
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "r" + placed.size();
            CallerRequest.Completion completion = new CallerRequest.Completion(
                    "m", Optional.empty(), List.of((long) placed.size()), PROMPT_TOKENS, 10);
            node
                    .reduce(new RequestEvent.Arrived(
                            new RequestId(id),
                            new CallerRequest(
                                    "POST",
                                    "/draft",
                                    new TeamId("t"),
                                    Optional.empty(),
                                    40,
                                    true,
                                    Optional.of(completion))))
                    .stream()
                    .filter(RequestEffect.Dispatch.class::isInstance)
                    .map(RequestEffect.Dispatch.class::cast)
                    .forEach(d -> servers.add(d.backend().id().value()));
            placed.add(id);
            node.advance(120);
        }
        return servers;
    }

    private void completeAll() {
        placed.forEach(id -> {
            node.startWriting(id, 1);
            node.startAnswer(id, 1);
            node.completeAnswer(id, 1);
        });
    }

    private long logged(EventCode code) {
        return effectsOfType(node.effects, Effect.Log.class).stream()
                .filter(l -> l.code() == code)
                .count();
    }

    @Test
    void sendsPartOfTheRequestsElsewhereWhileItsZoneIsShort() {
        start(SHARED);
        assertThat(send(6)).contains("near", "far");
        assertThat(logged(EventCode.ZONE_SPILL_STARTED)).isEqualTo(1);
        assertThat(node.state.spillFraction(new Zone("behala"))).isPositive();
        completeAll();
        for (int i = 0; i < 40; i++) {
            send(1);
            completeAll();
        }
        assertThat(logged(EventCode.ZONE_SPILL_ENDED)).isEqualTo(1);
        assertThat(node.state.spillFraction(new Zone("behala"))).isZero();
    }

    /** The other nodes' attempts are unknown, so that the servers of the other zone look idle. */
    @Test
    void staysWithoutReportsOfTheOtherNodes() {
        node.peers = peers();
        start(SHARED);
        assertThat(send(4)).containsOnly("near");
        assertThat(logged(EventCode.ZONE_SPILL_STARTED)).isZero();
    }

    @Test
    void leavesWithoutReportsIfItsZoneHasNoServer() {
        node.peers = peers();
        node.policy = SHARED;
        node.listBackends(engine("far", "behala"));
        assertThat(send(3)).containsExactly("far", "far", "far");
    }

    /** Servers of the own zone that failed are tried again, as only requests show that they have recovered. */
    @Test
    void triesServersOfItsZoneAgain() {
        start(SHARED);
        send(1);
        node.failAttempt("r0", 1, Failure.Step.CONNECTING, Failure.Kind.UNREACHABLE);
        assertThat(send(1)).containsExactly("far");
        node.advance(2 * SHARED.suspectMs());
        assertThat(send(1)).containsExactly("near");
    }

    @Test
    void keepsNoStateAndTakesNoOtherDecisionsWithTheSwitchOff() {
        start(Policy.DEFAULT);
        send(6);
        assertThat(node.state.spills().isEmpty()).isTrue();
        assertThat(node.state.spillZones().isEmpty()).isTrue();
    }

    private static Peers peers() {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        for (int i = 0; i < 7; i++) {
            NodeId peer = new NodeId("p" + i);
            alive.put(peer, new Peers.Peer(peer, new Address("127.0.0.1", 2 + i), new Zone("behala")));
        }
        return new Peers(alive);
    }
}
