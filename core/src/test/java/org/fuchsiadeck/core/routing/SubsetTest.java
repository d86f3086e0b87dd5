package org.fuchsiadeck.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.collection.Array;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers that no node uses, and against a change of one node that reassigns the servers of the others.
 */
class SubsetTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    @Test
    void usesASmallPoolWhole() {
        Array<Backend> pool = backends(Subset.SUBSETTING_THRESHOLD);
        assertThat(Subset.of(pool, new NodeId("n0"), peers(100, 0))).isEqualTo(pool);
    }

    @Test
    void assignsEachServerToEquallyManyNodesAndEachNodeSimilarlyManyServers() {
        Array<Backend> pool = backends(1_000);
        Map<BackendId, Integer> nodeCounts = new HashMap<>();
        List<Integer> sizes = new ArrayList<>();
        for (int n = 0; n < 100; n++) {
            Array<Backend> assigned = Subset.of(pool, new NodeId("n" + n), peers(100, n));
            sizes.add(assigned.size());
            assigned.forEach(b -> nodeCounts.merge(b.id(), 1, Integer::sum));
        }
        assertThat(nodeCounts).hasSize(1_000);
        assertThat(new HashSet<>(nodeCounts.values())).hasSize(1);
        assertThat(sizes).allMatch(s -> s > 35 && s < 105);
    }

    @Test
    void reassignsOnlyTheServersOfANodeThatLeaves() {
        Array<Backend> pool = backends(1_000);
        Set<Backend> before = Subset.of(pool, new NodeId("n0"), peers(100, 0)).toJavaSet();
        Set<Backend> after = Subset.of(pool, new NodeId("n0"), peers(99, 0)).toJavaSet();
        assertThat(after).containsAll(before);
        assertThat(after.size() - before.size()).isLessThan(10);
    }

    @Test
    void assignsOtherServersWhenAllAssignedServersLeave() {
        Need need = new Need("assistant", Backend.Kind.ENGINE, Optional.empty(), Optional.empty());
        Identity self = new Identity(new NodeId("n0"), new Zone("z"), ADDRESS, 1);
        Fleet fleet =
                Fleet.EMPTY.withListing(backends(400).asJava(), 0, b -> 32).withPool(need, self, peers(100, 0));
        Set<BackendId> assigned = fleet.pools().get(need).get().members().toJavaSet();
        assertThat(assigned).hasSizeLessThan(200);
        for (BackendId id : assigned) {
            fleet = fleet.withReclaimNotice(id, 0, 10_000);
        }
        fleet = fleet.withPool(need, self, peers(100, 0));
        assertThat(fleet.pools().get(need).get().members().toJavaSet())
                .isNotEmpty()
                .doesNotContainAnyElementsOf(assigned);
    }

    private static Array<Backend> backends(int count) {
        return Array.range(0, count)
                .map(i -> new Backend(
                        new BackendId("e" + i),
                        ADDRESS,
                        new Zone("z"),
                        Backend.Kind.ENGINE,
                        "assistant",
                        "v1",
                        Set.of(),
                        Set.of(),
                        Set.of(),
                        4,
                        1,
                        true,
                        false));
    }

    private static Peers peers(int count, int self) {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            NodeId id = new NodeId("n" + i);
            if (i != self) {
                alive.put(id, new Peers.Peer(id, ADDRESS, new Zone("z")));
            }
        }
        return new Peers(alive);
    }
}
