package org.fuchsiadeck.core.routing;

import java.util.List;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import org.fuchsiadeck.core.model.BackendId;

/**
 * The prompt prefixes that this node recently sent to each backend server. Only prefixes of 1, 2, 4, 8 ... blocks and
 * the whole prompt are recorded, and the oldest are evicted.
 *
 * @param holders the servers to which a prefix was sent, latest first, by the prefix's hash
 * @param order the hashes of the prefixes, oldest first
 */
public record SentPrefixes(Map<Long, io.vavr.collection.List<BackendId>> holders, Queue<Long> order) {
    /** The history of a node that has sent nothing yet. */
    public static final SentPrefixes EMPTY = new SentPrefixes(HashMap.empty(), Queue.empty());

    private static final int MAX_HASHES = 8_192;
    private static final int MAX_HOLDERS = 3;

    /**
     * Records that a prompt was sent to a server.
     *
     * @param prefixHashes hashes of the prompt's prefixes, shortest first
     * @param backend the server that the prompt was sent to
     * @return the updated history
     */
    public SentPrefixes withSent(List<Long> prefixHashes, BackendId backend) {
        SentPrefixes next = this;
        for (int blocks = prefixHashes.size(); blocks > 0; blocks = nextShorter(blocks)) {
            next = next.withSent(prefixHashes.get(blocks - 1), backend);
        }
        return next;
    }

    /**
     * Returns the servers that probably have a prompt's longest known prefix cached.
     *
     * @param prefixHashes hashes of the prompt's prefixes, shortest first
     * @return the servers, latest first; empty if no prefix is known
     */
    public io.vavr.collection.List<BackendId> holders(List<Long> prefixHashes) {
        for (int blocks = prefixHashes.size(); blocks > 0; blocks = nextShorter(blocks)) {
            io.vavr.collection.List<BackendId> servers =
                    holders.getOrElse(prefixHashes.get(blocks - 1), io.vavr.collection.List.empty());
            if (!servers.isEmpty()) {
                return servers;
            }
        }
        return io.vavr.collection.List.empty();
    }

    /**
     * Estimates the fraction of a prompt that a server has cached.
     *
     * @param prefixHashes hashes of the prompt's prefixes, shortest first
     * @param backend the server
     * @return the fraction, from 0 to 1
     */
    public double matchedFraction(List<Long> prefixHashes, BackendId backend) {
        for (int blocks = prefixHashes.size(); blocks > 0; blocks = nextShorter(blocks)) {
            io.vavr.collection.List<BackendId> servers =
                    holders.getOrElse(prefixHashes.get(blocks - 1), io.vavr.collection.List.empty());
            if (servers.contains(backend)) {
                return (double) blocks / prefixHashes.size();
            }
        }
        return 0;
    }

    /**
     * Returns whether a prefix was sent to a server.
     *
     * @param prefixHash the prefix's hash
     * @param backend the server
     * @return whether the server is among the last three that the prefix was sent to
     */
    public boolean wasSentTo(long prefixHash, BackendId backend) {
        return holders.getOrElse(prefixHash, io.vavr.collection.List.empty()).contains(backend);
    }

    private static int nextShorter(int blocks) {
        int power = Integer.highestOneBit(blocks);
        return power == blocks ? blocks / 2 : power;
    }

    private SentPrefixes withSent(long prefixHash, BackendId backend) {
        io.vavr.collection.List<BackendId> known = holders.getOrElse(prefixHash, io.vavr.collection.List.empty());
        if (known.headOption().contains(backend)) {
            return this;
        }
        io.vavr.collection.List<BackendId> updated =
                known.remove(backend).prepend(backend).take(MAX_HOLDERS);
        Queue<Long> hashes = known.isEmpty() ? order.enqueue(prefixHash) : order;
        Map<Long, io.vavr.collection.List<BackendId>> next = holders.put(prefixHash, updated);
        if (next.size() <= MAX_HASHES) {
            return new SentPrefixes(next, hashes);
        }
        return new SentPrefixes(next.remove(hashes.head()), hashes.tail());
    }
}
