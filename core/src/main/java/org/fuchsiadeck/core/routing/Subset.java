package org.fuchsiadeck.core.routing;

import io.vavr.collection.Array;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * The part of a large pool that one entry node talks to. Every backend server is taken by the same number of nodes, the
 * ones with the greatest rendezvous hash for it: no server is left out, and a node that comes or goes moves only its
 * own part.
 */
final class Subset {
    /** Pools up to this size are used whole. */
    static final int SUBSETTING_THRESHOLD = 128;

    private static final int TARGET_SIZE = 64;
    private static final int MIN_NODES_EACH = 3;

    private Subset() {}

    /**
     * Returns the servers that a node talks to.
     *
     * @param backends the servers of one version that meet one need
     * @param self the node
     * @param peers the other nodes
     * @return all servers up to the threshold; the node's part of them above
     */
    static Array<Backend> of(Array<Backend> backends, NodeId self, Peers peers) {
        if (backends.size() <= SUBSETTING_THRESHOLD) {
            return backends;
        }
        int nodes = peers.alive().size() + 1;
        int each = Math.max(MIN_NODES_EACH, ceilDiv(TARGET_SIZE * nodes, backends.size()));
        if (each >= nodes) {
            return backends;
        }
        long own = hash(self);
        long[] others = peers.alive().keySet().stream().mapToLong(Subset::hash).toArray();
        Array<Backend> part = backends.filter(b -> takes(hash(b), own, others, each));
        return part.isEmpty() ? backends : part;
    }

    private static boolean takes(long backend, long own, long[] others, int each) {
        long mine = SplitMix.mix(backend ^ own);
        int before = 0;
        for (long other : others) {
            if (SplitMix.mix(backend ^ other) > mine && ++before >= each) {
                return false;
            }
        }
        return true;
    }

    private static long hash(NodeId node) {
        return textHash(node.value());
    }

    private static long hash(Backend backend) {
        return textHash(backend.id().value());
    }

    private static long textHash(String text) {
        long hash = text.length();
        for (int i = 0; i < text.length(); i++) {
            hash = SplitMix.mix(hash + text.charAt(i));
        }
        return hash;
    }

    private static int ceilDiv(int a, int b) {
        return (a + b - 1) / b;
    }
}
