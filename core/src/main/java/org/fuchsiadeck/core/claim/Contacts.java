package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.NodeId;

/**
 * Which rosters other nodes are known to go by, and how recently they went by none newer than this node's.
 *
 * @param revisions the latest revision heard of each node
 * @param agreedMs for each node the latest time at or after which it went by none newer
 */
record Contacts(TreeMap<NodeId, Long> revisions, TreeMap<NodeId, Long> agreedMs) {
    /** How long an owner grants claims after a majority of its roster was last known to go by none newer, in ms. */
    static final long FRESH_MS = 30_000;

    static Contacts none() {
        return new Contacts(TreeMap.empty(), TreeMap.empty());
    }

    Contacts heard(NodeId from, long revision) {
        return new Contacts(revisions.put(from, revision, Math::max), agreedMs);
    }

    Contacts agreed(NodeId from, long sentMs) {
        return new Contacts(revisions, agreedMs.put(from, sentMs, Math::max));
    }

    Contacts retain(Set<NodeId> nodes) {
        return new Contacts(revisions.filterKeys(nodes::contains), agreedMs.filterKeys(nodes::contains));
    }

    Set<NodeId> agreedSince(long sinceMs) {
        return HashSet.ofAll(agreedMs.filterValues(at -> at >= sinceMs).keySet());
    }

    /** Returns the nodes known to go by rosters newer than a revision. */
    Set<NodeId> beyond(long revision) {
        return HashSet.ofAll(revisions.filterValues(r -> r > revision).keySet());
    }
}
