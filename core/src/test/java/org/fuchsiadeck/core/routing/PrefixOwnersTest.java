package org.fuchsiadeck.core.routing;

import java.util.HashMap;
import java.util.Map;

import io.vavr.collection.Array;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Rendezvous;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against prefixes that move without need, and against owners that nodes of earlier versions don't agree with. */
class PrefixOwnersTest {
    private static final int PREFIXES = 4_000;
    private final Array<BackendId> servers = Array.range(0, 40).map(i -> new BackendId("s" + i));

    /** The assignment of versions without speeds. */
    private BackendId unweighted(long prefixHash) {
        BackendId owner = null;
        long highest = 0;
        for (BackendId id : servers) {
            long score = SplitMix.mix(prefixHash ^ Rendezvous.hash(id.value()));
            if (owner == null || Long.compareUnsigned(score, highest) > 0) {
                owner = id;
                highest = score;
            }
        }
        return owner;
    }

    @Test
    void equalWeightsGiveTheSameOwnersAsNoWeights() {
        for (double weight : new double[] {1, 0.5}) {
            PrefixOwners owners = PrefixOwners.of(servers, id -> weight);
            for (long prefix = 0; prefix < PREFIXES; prefix++) {
                long hash = SplitMix.draw(3, prefix);
                assertThat(owners.owner(hash)).isEqualTo(unweighted(hash));
            }
        }
    }

    /** One server becomes slower: only its prefixes move, to servers all over. */
    @Test
    void aChangedWeightMovesOnlyPrefixesOfThatServer() {
        BackendId slow = servers.get(7);
        PrefixOwners before = PrefixOwners.of(servers, id -> 1);
        PrefixOwners after = PrefixOwners.of(servers, id -> id.equals(slow) ? 0.5 : 1);
        for (long prefix = 0; prefix < PREFIXES; prefix++) {
            long hash = SplitMix.draw(3, prefix);
            if (!before.owner(hash).equals(slow)) {
                assertThat(after.owner(hash)).isEqualTo(before.owner(hash));
            }
        }
    }

    @Test
    void serversOwnPrefixesInProportionToTheirWeights() {
        PrefixOwners owners = PrefixOwners.of(servers, id -> servers.indexOf(id) % 4 == 0 ? 0.5 : 1);
        Map<Boolean, Integer> counts = new HashMap<>();
        for (long prefix = 0; prefix < PREFIXES; prefix++) {
            BackendId owner = owners.owner(SplitMix.draw(3, prefix));
            counts.merge(servers.indexOf(owner) % 4 == 0, 1, Integer::sum);
        }
        double perSlow = counts.get(true) / 10.0;
        double perFast = counts.get(false) / 30.0;
        assertThat(perSlow / perFast).isBetween(0.4, 0.6);
    }
}
