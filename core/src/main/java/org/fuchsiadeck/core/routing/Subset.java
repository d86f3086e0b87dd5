package org.fuchsiadeck.core.routing;

import io.vavr.collection.Array;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

/**
 * Selects the backend servers of a large pool that one entry node sends requests to (deterministic subsetting). Every
 * server is assigned to the same number of nodes, those with the greatest rendezvous hash for it. No server is left
 * out, and a node that joins or leaves changes only the assignment of its own servers.
 */
final class Subset {
    /** Largest pool that every node uses whole, in servers. */
    static final int SUBSETTING_THRESHOLD = 128;

    /** Target for the average number of servers assigned to a node. */
    private static final int TARGET_SIZE = 64;

    private static final int MIN_NODES_PER_BACKEND = 3;

    private Subset() {}

    /**
     * Returns the servers that a node sends requests to.
     *
     * @param backends the servers of one version that meet one need
     * @param self the node
     * @param peers the other nodes
     * @return all servers if there are no more than the threshold; otherwise those assigned to the node
     */
    static Array<Backend> of(Array<Backend> backends, NodeId self, Peers peers) {
        if (backends.size() <= SUBSETTING_THRESHOLD) {
            return backends;
        }
        int nodes = peers.alive().size() + 1;
        int nodesPerBackend = Math.max(MIN_NODES_PER_BACKEND, ceilDiv(TARGET_SIZE * nodes, backends.size()));
        if (nodesPerBackend >= nodes) {
            return backends;
        }
        long ownHash = hash(self);
        long[] otherHashes =
                peers.alive().keySet().stream().mapToLong(Subset::hash).toArray();
        Array<Backend> assigned = backends.filter(b -> isAssigned(hash(b), ownHash, otherHashes, nodesPerBackend));
        return assigned.isEmpty() ? backends : assigned;
    }

    private static boolean isAssigned(long backendHash, long ownHash, long[] otherHashes, int nodesPerBackend) {
        long ownScore = SplitMix.mix(backendHash ^ ownHash);
        int higher = 0;
        for (long otherHash : otherHashes) {
            if (SplitMix.mix(backendHash ^ otherHash) > ownScore && ++higher >= nodesPerBackend) {
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
