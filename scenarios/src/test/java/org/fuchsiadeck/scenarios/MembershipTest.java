package org.fuchsiadeck.scenarios;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.proxy.ProxyAction;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Which entry nodes each node takes as alive, on five processes that reach each other through proxies. */
class MembershipTest {
    private static final int NODES = 5;
    private static final long SERVICE_MS = 5;
    /** Nothing reaches the node, on old connections or new ones; what it sends still arrives. */
    private static final ProxyFaults DEAF =
            new ProxyFaults(false, true, 0, 0, 0, 0, false, List.of(ProxyAction.SILENCE_TO_TARGET));

    private static final ProxyFaults HEALED = ProxyFaults.of(ProxyAction.CUT);

    private Deployment deployment;

    @BeforeEach
    void start() {
        deployment = Deployment.start(Fleets.threeZones(SERVICE_MS), Fleets.configuration(), NODES);
        awaitViews();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void killedNodesGoAndNewOnesCome() {
        deployment.nodes().get(0).kill();
        deployment.nodes().get(1).kill();
        awaitViews();
        deployment.startNode().awaitReady();
        deployment.startNode().awaitReady();
        awaitViews();
    }

    @Test
    void pausedNodesComeBackWithTheirOldKnowledgeCorrected() {
        NodeProcess paused = deployment.nodes().get(2);
        long before = incarnation(deployment.nodes().get(0), paused);
        paused.pause();
        awaitViews(Set.of(paused));
        deployment.nodes().get(4).kill();
        awaitViews(Set.of(paused));
        paused.resume();
        awaitViews();
        assertThat(incarnation(deployment.nodes().get(0), paused)).isGreaterThan(before);
    }

    @Test
    void nodesThatHearNothingAreLeftOutUntilTheyHearAgain() {
        NodeProcess deaf = deployment.nodes().get(3);
        deployment.peerFaults(3, DEAF);
        awaitViews(Set.of(deaf));
        deployment.peerFaults(3, HEALED);
        awaitViews();
    }

    @Test
    void halvesThatCannotReachEachOtherAgreeAgainAfterwards() {
        for (int node = 0; node < NODES; node++) {
            deployment.peerFaults(node, DEAF);
        }
        Waiting.until("every node is alone", () -> deployment.nodes().stream().allMatch(n -> alive(n).isEmpty()));
        for (int node = 0; node < NODES; node++) {
            deployment.peerFaults(node, HEALED);
        }
        awaitViews();
    }

    private void awaitViews() {
        awaitViews(Set.of());
    }

    /** Waits until every living node that is not apart takes just the others like it as alive. */
    private void awaitViews(Set<NodeProcess> apart) {
        List<NodeProcess> together = deployment.nodes().stream()
                .filter(n -> n.alive() && !apart.contains(n))
                .toList();
        for (NodeProcess node : together) {
            Set<String> wanted = new TreeSet<>();
            together.forEach(n -> wanted.add(n.plan().id()));
            wanted.remove(node.plan().id());
            Waiting.until(
                    node.plan().id() + " takes " + wanted + " as alive",
                    () -> alive(node).equals(wanted));
        }
    }

    private static Set<String> alive(NodeProcess node) {
        Set<String> ids = new TreeSet<>();
        for (JsonNode member : node.dump().path("members")) {
            if (member.path("status").asText().equals("ALIVE")) {
                ids.add(member.path("id").asText());
            }
        }
        return ids;
    }

    private static long incarnation(NodeProcess at, NodeProcess of) {
        for (JsonNode member : at.dump().path("members")) {
            if (member.path("id").asText().equals(of.plan().id())) {
                return member.path("incarnation").asLong();
            }
        }
        throw new AssertionError(of.plan().id() + " is not known");
    }
}
