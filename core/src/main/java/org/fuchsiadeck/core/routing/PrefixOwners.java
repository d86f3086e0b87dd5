package org.fuchsiadeck.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import io.vavr.collection.Array;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Rendezvous;

/**
 * Assigns prompt prefixes to servers by weighted rendezvous hashing: a server owns a share of the prefixes in proportion
 * to its weight, and a change of one weight moves only prefixes from or to that server. Weights have few distinct
 * values, so that servers are grouped by weight: within a group the highest score wins, and logarithms are computed once
 * per group.
 */
final class PrefixOwners {
    private static final double HALF = 0.5;
    private static final int UNUSED_BITS = 11;
    private static final double UNIT = 0x1.0p-53;

    private final Map<Double, List<BackendId>> groups;

    private PrefixOwners(Map<Double, List<BackendId>> groups) {
        this.groups = groups;
    }

    static PrefixOwners of(Array<BackendId> servers, ToDoubleFunction<BackendId> weight) {
        double first = weight.applyAsDouble(servers.head());
        if (servers.forAll(id -> weight.applyAsDouble(id) == first)) {
            return new PrefixOwners(Map.of(first, servers.asJava()));
        }
        Map<Double, List<BackendId>> groups = new TreeMap<>();
        for (BackendId id : servers) {
            groups.computeIfAbsent(weight.applyAsDouble(id), w -> new ArrayList<>())
                    .add(id);
        }
        return new PrefixOwners(groups);
    }

    BackendId owner(long prefixHash) {
        BackendId owner = null;
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<Double, List<BackendId>> group : groups.entrySet()) {
            BackendId best = null;
            long highest = 0;
            for (BackendId id : group.getValue()) {
                long score = SplitMix.mix(prefixHash ^ Rendezvous.hash(id.value()));
                if (best == null || Long.compareUnsigned(score, highest) > 0) {
                    best = id;
                    highest = score;
                }
            }
            // The minimum of exponentially distributed values falls to a server in proportion to its rate. StrictMath
            // gives the same result on all machines.
            double value = -StrictMath.log(((highest >>> UNUSED_BITS) + HALF) * UNIT) / group.getKey();
            if (owner == null || value < least) {
                owner = best;
                least = value;
            }
        }
        return owner;
    }
}
