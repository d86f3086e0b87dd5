package org.fuchsiadeck.core.routing;

import java.util.List;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import org.fuchsiadeck.core.model.BackendId;

/**
 * Which prompt prefixes this node sent where lately. Only prefixes of 1, 2, 4, 8 ... blocks and the whole prompt are
 * kept, and the oldest are forgotten.
 *
 * @param holders for a prefix's hash, the servers it was sent to, the latest first
 * @param order the hashes, the oldest first
 */
public record SentPrefixes(Map<Long, io.vavr.collection.List<BackendId>> holders, Queue<Long> order) {
    /** Nothing was sent yet. */
    public static final SentPrefixes EMPTY = new SentPrefixes(HashMap.empty(), Queue.empty());

    private static final int MAX_HASHES = 8_192;
    private static final int MAX_HOLDERS = 3;

    /**
     * Takes a dispatch into account.
     *
     * @param prefix hashes of the prompt's prefixes, the shortest first
     * @param backend where it was sent
     * @return the next view
     */
    public SentPrefixes withSent(List<Long> prefix, BackendId backend) {
        SentPrefixes next = this;
        for (int blocks = prefix.size(); blocks > 0; blocks = shorter(blocks)) {
            next = next.withSent(prefix.get(blocks - 1), backend);
        }
        return next;
    }

    /**
     * Returns the servers that should hold the longest known prefix of a prompt.
     *
     * @param prefix hashes of the prompt's prefixes, the shortest first
     * @return the servers, the latest first; empty if no prefix is known
     */
    public io.vavr.collection.List<BackendId> holders(List<Long> prefix) {
        for (int blocks = prefix.size(); blocks > 0; blocks = shorter(blocks)) {
            io.vavr.collection.List<BackendId> found =
                    holders.getOrElse(prefix.get(blocks - 1), io.vavr.collection.List.empty());
            if (!found.isEmpty()) {
                return found;
            }
        }
        return io.vavr.collection.List.empty();
    }

    /**
     * Estimates which part of a prompt a server holds.
     *
     * @param prefix hashes of the prompt's prefixes, the shortest first
     * @param backend the server
     * @return from 0 for nothing to 1 for all of it
     */
    public double matchedFraction(List<Long> prefix, BackendId backend) {
        for (int blocks = prefix.size(); blocks > 0; blocks = shorter(blocks)) {
            io.vavr.collection.List<BackendId> found =
                    holders.getOrElse(prefix.get(blocks - 1), io.vavr.collection.List.empty());
            if (found.contains(backend)) {
                return (double) blocks / prefix.size();
            }
        }
        return 0;
    }

    /**
     * Tells whether a prefix was sent to a server.
     *
     * @param prefix the prefix's hash
     * @param backend the server
     * @return whether the server is among the last that it was sent to
     */
    public boolean wasSentTo(long prefix, BackendId backend) {
        return holders.getOrElse(prefix, io.vavr.collection.List.empty()).contains(backend);
    }

    private static int shorter(int blocks) {
        int power = Integer.highestOneBit(blocks);
        return power == blocks ? blocks / 2 : power;
    }

    private SentPrefixes withSent(long hash, BackendId backend) {
        io.vavr.collection.List<BackendId> known = holders.getOrElse(hash, io.vavr.collection.List.empty());
        if (known.headOption().contains(backend)) {
            return this;
        }
        io.vavr.collection.List<BackendId> now =
                known.remove(backend).prepend(backend).take(MAX_HOLDERS);
        Queue<Long> hashes = known.isEmpty() ? order.enqueue(hash) : order;
        Map<Long, io.vavr.collection.List<BackendId>> next = holders.put(hash, now);
        if (next.size() <= MAX_HASHES) {
            return new SentPrefixes(next, hashes);
        }
        return new SentPrefixes(next.remove(hashes.head()), hashes.tail());
    }
}
