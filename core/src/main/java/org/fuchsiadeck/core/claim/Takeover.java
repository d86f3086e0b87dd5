package org.fuchsiadeck.core.claim;

import java.util.List;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The progress of the members of the newest roster in taking over the claims of earlier rosters.
 *
 * @param cursors for each node that this one still reads claims from, the last key read; empty at the start
 * @param read the nodes whose claims have all been read
 * @param reported for each member, the {@link Roster#basedOn}s of the earlier rosters it reports to have taken
 *     over
 */
record Takeover(TreeMap<NodeId, String> cursors, HashSet<NodeId> read, TreeMap<NodeId, Vector<Long>> reported) {
    static Takeover empty() {
        return new Takeover(TreeMap.empty(), HashSet.empty(), TreeMap.empty());
    }

    /** Starts over for a new newest roster. This node's own claims need not be read. */
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
        return new Takeover(cursors.put(from, lastKey), read, reported);
    }

    Takeover complete(NodeId from) {
        return new Takeover(cursors.remove(from), read.add(from), reported);
    }

    Takeover withReport(NodeId from, List<Long> takenOver) {
        return new Takeover(cursors, read, reported.put(from, Vector.ofAll(takenOver)));
    }

    /** Returns the {@link Roster#basedOn}s of the earlier rosters whose claims this node has taken over. */
    Vector<Long> takenOver(RosterChain chain) {
        return chain.earlier().filter(r -> r.intersectsEveryQuorum(read)).map(Roster::basedOn);
    }

    /** Returns whether all given members of the newest roster report to have taken over an earlier one. */
    boolean isTakenOverByAll(Roster earlier, Set<NodeId> members) {
        return members.forAll(m -> reported.get(m).exists(r -> r.contains(earlier.basedOn())));
    }
}
