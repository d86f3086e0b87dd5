package org.fuchsiadeck.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AffinityRouterTest {
    private static final Zone ZONE = new Zone("z");
    private static final int SLOTS = 12;

    private final Map<BackendId, BackendStatus> servers = new HashMap<>();

    private void engines(int count) {
        for (int i = 0; i < count; i++) {
            BackendId id = new BackendId("s" + i);
            Backend backend = new Backend(
                    id,
                    new Address("10.0.0.2", 1),
                    ZONE,
                    Backend.Kind.ENGINE,
                    "model",
                    "v1",
                    Set.of(),
                    Set.of(),
                    Set.of(),
                    SLOTS,
                    1,
                    true,
                    false);
            servers.put(id, BackendStatus.initial(backend, SLOTS));
        }
    }

    /** Lets each of many nodes place one request by the same old report. */
    private Map<BackendId, Integer> placed(int nodes, int requests, List<Long> prefix, List<Integer> tokens) {
        Candidates candidates = new Candidates(Array.ofAll(servers.keySet()), id -> Option.of(servers.get(id)));
        Map<BackendId, Integer> placed = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            RoutingContext query = new RoutingContext(
                    0,
                    ZONE,
                    prefix,
                    SentPrefixes.EMPTY,
                    SplitMix.draw(17, i),
                    i,
                    b -> 1,
                    0,
                    new RoutingContext.PromptLengths(
                            tokens.stream().mapToInt(t -> t).max().orElse(0), tokens),
                    b -> b.id().hashCode() % 4,
                    b -> 0,
                    nodes);
            Choice choice = Router.affinity().choose(candidates, query).get();
            placed.merge(choice.server().backend().id(), 1, Integer::sum);
        }
        return placed;
    }

    /** Quiet day of a large fleet: a hundred requests come between two reports. */
    @Test
    void manyNodesWithTheSameReportDoNotAllSendToTheSameServer() {
        engines(30);
        Map<BackendId, Integer> placed = placed(95, 100, List.of(), List.of());
        assertThat(placed.values()).allMatch(n -> n <= SLOTS);
    }

    @Test
    void aLongSharedPrefixGoesToItsHomeFromAllNodes() {
        engines(30);
        Map<BackendId, Integer> placed = placed(95, 100, List.of(7L, 8L), List.of(13_000, 14_000));
        assertThat(placed).hasSize(1);
    }

    /** A long dossier is read by one of the servers while short requests come, by this node's sends or another's. */
    @Test
    void sendsNothingToAServerThatReadsALongPromptWhileOthersDoNot() {
        engines(3);
        BackendId reading = servers.keySet().iterator().next();
        servers.computeIfPresent(reading, (id, s) -> s.plusAttempts(1).plusUnread(40_000));
        servers.replaceAll((id, s) -> id.equals(reading) ? s : s.plusAttempts(8));
        assertThat(placed(b -> 0, 30)).doesNotContainKey(reading);
        servers.replaceAll((id, s) -> id.equals(reading) ? s.plusUnread(-40_000) : s);
        assertThat(placed(b -> b.id().equals(reading) ? 40_000 : 0, 30)).doesNotContainKey(reading);
        assertThat(placed(b -> 0, 30)).containsOnlyKeys(reading);
    }

    private Map<BackendId, Integer> placed(ToIntFunction<Backend> unreadElsewhere, int requests) {
        Candidates candidates = new Candidates(Array.ofAll(servers.keySet()), id -> Option.of(servers.get(id)));
        Map<BackendId, Integer> placed = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            RoutingContext.PromptLengths prompt = new RoutingContext.PromptLengths(600, List.of());
            RoutingContext query = new RoutingContext(
                    0,
                    ZONE,
                    List.of(),
                    SentPrefixes.EMPTY,
                    SplitMix.draw(17, i),
                    i,
                    b -> 1,
                    0,
                    prompt,
                    b -> 0,
                    unreadElsewhere,
                    7);
            Choice choice = Router.affinity().choose(candidates, query).get();
            placed.merge(choice.server().backend().id(), 1, Integer::sum);
        }
        return placed;
    }
}
