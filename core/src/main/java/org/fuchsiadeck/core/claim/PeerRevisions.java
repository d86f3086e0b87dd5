package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The revisions of the rosters that other nodes use, and when each node last confirmed that it uses none newer than
 * this node's.
 *
 * @param revisions the highest revision reported by each node
 * @param agreedMs for each node, the latest time at or after which it used none newer, in milliseconds of this
 *     node's monotonic clock
 */
record PeerRevisions(TreeMap<NodeId, Long> revisions, TreeMap<NodeId, Long> agreedMs) {
    /**
     * How long an owner grants claims after a majority of its newest roster last confirmed that it uses none newer, in
     * milliseconds.
     */
    static final long CONFIRMATION_TTL_MS = 30_000;

    static PeerRevisions empty() {
        return new PeerRevisions(TreeMap.empty(), TreeMap.empty());
    }

    PeerRevisions withRevision(NodeId from, long revision) {
        return new PeerRevisions(revisions.put(from, revision, Math::max), agreedMs);
    }

    PeerRevisions withConfirmation(NodeId from, long sentMs) {
        return new PeerRevisions(revisions, agreedMs.put(from, sentMs, Math::max));
    }

    PeerRevisions retain(Set<NodeId> nodes) {
        return new PeerRevisions(revisions.filterKeys(nodes::contains), agreedMs.filterKeys(nodes::contains));
    }

    Set<NodeId> confirmedSince(long sinceMs) {
        return HashSet.ofAll(agreedMs.filterValues(at -> at >= sinceMs).keySet());
    }

    /** Returns the nodes known to use rosters newer than a revision. */
    Set<NodeId> newerThan(long revision) {
        return HashSet.ofAll(revisions.filterValues(r -> r > revision).keySet());
    }
}
