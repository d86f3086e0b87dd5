package org.fuchsiadeck.core.claim;

import java.util.List;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.NodeId;

/**
 * How far the members of the newest roster have taken over the claims of earlier ones.
 *
 * @param cursors for each node this one still reads claims from, the last key read
 * @param completed the nodes all of whose claims have been read
 * @param reported what the members say they have taken over, as {@link Roster#baseRevision} of the earlier rosters
 */
record Takeover(TreeMap<NodeId, String> cursors, HashSet<NodeId> completed, TreeMap<NodeId, Vector<Long>> reported) {
    static Takeover empty() {
        return new Takeover(TreeMap.empty(), HashSet.empty(), TreeMap.empty());
    }

    /** Begins anew for a new newest roster. A node's own claims need no reading. */
    static Takeover start(RosterChain chain, NodeId self) {
        if (!chain.newest().members().containsKey(self)) {
            return empty();
        }
        TreeMap<NodeId, String> cursors = TreeMap.empty();
        for (Roster roster : chain.earlier()) {
            for (NodeId id : roster.members().keySet()) {
                cursors = cursors.put(id, "");
            }
        }
        return new Takeover(cursors.remove(self), HashSet.of(self), TreeMap.empty());
    }

    Takeover advance(NodeId from, String lastKey) {
        return new Takeover(cursors.put(from, lastKey), completed, reported);
    }

    Takeover complete(NodeId from) {
        return new Takeover(cursors.remove(from), completed.add(from), reported);
    }

    Takeover withReport(NodeId from, List<Long> takenOver) {
        return new Takeover(cursors, completed, reported.put(from, Vector.ofAll(takenOver)));
    }

    Vector<Long> takenOver(RosterChain chain) {
        return chain.earlier().filter(r -> r.intersectsEveryQuorum(completed)).map(Roster::baseRevision);
    }

    /** Tells whether every member of the newest roster has taken over an earlier one. */
    boolean isTakenOverByAll(Roster earlier, Set<NodeId> members) {
        return members.forAll(m -> reported.get(m).exists(r -> r.contains(earlier.baseRevision())));
    }
}
