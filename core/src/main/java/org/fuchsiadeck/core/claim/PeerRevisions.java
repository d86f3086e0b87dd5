package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.NodeId;

/**
 * Which rosters other nodes are known to go by, and how recently they went by none newer than this node's.
 *
 * @param revisions the latest revision heard of each node
 * @param confirmedMs for each node the latest time at or after which it went by none newer
 */
record PeerRevisions(TreeMap<NodeId, Long> revisions, TreeMap<NodeId, Long> confirmedMs) {
    /** How long an owner grants claims after a majority of its roster was last known to go by none newer, in ms. */
    static final long CONFIRMATION_TTL_MS = 30_000;

    static PeerRevisions empty() {
        return new PeerRevisions(TreeMap.empty(), TreeMap.empty());
    }

    PeerRevisions withRevision(NodeId from, long revision) {
        return new PeerRevisions(revisions.put(from, revision, Math::max), confirmedMs);
    }

    PeerRevisions withConfirmation(NodeId from, long sentMs) {
        return new PeerRevisions(revisions, confirmedMs.put(from, sentMs, Math::max));
    }

    PeerRevisions retain(Set<NodeId> nodes) {
        return new PeerRevisions(revisions.filterKeys(nodes::contains), confirmedMs.filterKeys(nodes::contains));
    }

    Set<NodeId> confirmedSince(long sinceMs) {
        return HashSet.ofAll(confirmedMs.filterValues(at -> at >= sinceMs).keySet());
    }

    /** Returns the nodes known to go by rosters newer than a revision. */
    Set<NodeId> newerThan(long revision) {
        return HashSet.ofAll(revisions.filterValues(r -> r > revision).keySet());
    }
}
