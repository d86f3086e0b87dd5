package org.fuchsiadeck.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import io.vavr.collection.Array;
import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two overloads of a single server: by many nodes that choose by the same outdated report, and by
 * requests that queue behind a long prompt.
 */
class AffinityRouterTest {
    private static final Zone ZONE = new Zone("z");
    private static final int SLOTS = 12;

    private final Map<BackendId, BackendStatus> servers = new HashMap<>();

    private void addEngines(int count) {
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

    /**
     * Places each request from a different node, all with the same outdated report, and counts the requests per server.
     */
    private Map<BackendId, Integer> placements(int nodes, int requests, List<Long> prefix, List<Integer> tokens) {
        Candidates candidates = new Candidates(Array.ofAll(servers.keySet()), id -> Option.of(servers.get(id)));
        Map<BackendId, Integer> placements = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            RoutingContext context = new RoutingContext(
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
                    nodes,
                    ServerEstimates.standard(ZONE));
            Choice choice = Router.affinity().choose(candidates, context).get();
            placements.merge(choice.server().backend().id(), 1, Integer::sum);
        }
        return placements;
    }

    /** In a large deployment with little load, 100 requests arrive between two reports. */
    @Test
    void doesNotOverloadAServerWhenManyNodesUseTheSameReport() {
        addEngines(30);
        Map<BackendId, Integer> placements = placements(95, 100, List.of(), List.of());
        assertThat(placements.values()).allMatch(n -> n <= SLOTS);
    }

    @Test
    void routesALongSharedPrefixToItsOwnerFromAllNodes() {
        addEngines(30);
        Map<BackendId, Integer> placements = placements(95, 100, List.of(7L, 8L), List.of(13_000, 14_000));
        assertThat(placements).hasSize(1);
    }

    /** One server processes a long prompt, sent by this node or by another one, while short requests arrive. */
    @Test
    void avoidsAServerThatProcessesALongPromptWhileOthersDoNot() {
        addEngines(3);
        BackendId longPromptServer = servers.keySet().iterator().next();
        servers.computeIfPresent(longPromptServer, (id, s) -> s.plusAttempts(1).plusUnread(40_000));
        servers.replaceAll((id, s) -> id.equals(longPromptServer) ? s : s.plusAttempts(8));
        assertThat(placements(b -> 0, 30)).doesNotContainKey(longPromptServer);
        servers.replaceAll((id, s) -> id.equals(longPromptServer) ? s.plusUnread(-40_000) : s);
        assertThat(placements(b -> b.id().equals(longPromptServer) ? 40_000 : 0, 30))
                .doesNotContainKey(longPromptServer);
        assertThat(placements(b -> 0, 30)).containsOnlyKeys(longPromptServer);
    }

    private Map<BackendId, Integer> placements(ToIntFunction<Backend> unreadElsewhere, int requests) {
        Candidates candidates = new Candidates(Array.ofAll(servers.keySet()), id -> Option.of(servers.get(id)));
        Map<BackendId, Integer> placements = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            RoutingContext.PromptLengths prompt = new RoutingContext.PromptLengths(600, List.of());
            RoutingContext context = new RoutingContext(
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
                    7,
                    ServerEstimates.standard(ZONE));
            Choice choice = Router.affinity().choose(candidates, context).get();
            placements.merge(choice.server().backend().id(), 1, Integer::sum);
        }
        return placements;
    }

    private BackendId placeFromZone(Set<BackendId> members, double transferMs) {
        Candidates candidates =
                new Candidates(Array.ofAll(servers.keySet()).sorted(), id -> Option.of(servers.get(id)));
        ServerEstimates estimates = new ServerEstimates(
                80,
                b -> 1,
                b -> members.contains(b.id()) ? 0 : transferMs,
                0,
                id -> 1,
                Optional.of(HashSet.ofAll(members)));
        RoutingContext context = new RoutingContext(
                0,
                ZONE,
                List.of(7L, 8L),
                SentPrefixes.EMPTY,
                3,
                0,
                b -> 1,
                0,
                new RoutingContext.PromptLengths(14_000, List.of(13_000, 14_000)),
                b -> 0,
                b -> 0,
                95,
                estimates);
        return Router.affinity()
                .choose(candidates, context)
                .get()
                .server()
                .backend()
                .id();
    }

    /** Every zone has its own owner of a prefix; otherwise three quarters of the requests would leave a zone of four. */
    @Test
    void leavesThePickedZoneOnlyForAPrefixThatSavesMoreThanTheTransfer() {
        addEngines(30);
        BackendId owner = placeFromZone(Set.copyOf(servers.keySet()), 20);
        Set<BackendId> zone = servers.keySet().stream()
                .filter(id -> !id.equals(owner))
                .limit(8)
                .collect(Collectors.toSet());
        BackendId local = placeFromZone(zone, 20);
        assertThat(zone).contains(local);
        servers.computeIfPresent(local, (id, s) -> s.plusAttempts(4).plusUnread(80_000));
        assertThat(placeFromZone(zone, 20)).isEqualTo(owner);
        assertThat(placeFromZone(zone, 200)).isIn(zone).isNotEqualTo(local);
        servers.computeIfPresent(owner, (id, s) -> s.plusAttempts(4).plusUnread(80_000));
        assertThat(placeFromZone(zone, 20)).isIn(zone);
    }
}
