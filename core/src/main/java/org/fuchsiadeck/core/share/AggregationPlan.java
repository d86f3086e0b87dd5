package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Rendezvous;

import static java.util.Objects.requireNonNull;

/**
 * Who adds up what the nodes of a large fleet have used. The nodes are divided into about as many groups as each has
 * members; two aggregators of each group, one for each of two planes, take the reports of its members, exchange the sums
 * with the aggregators of the other groups in their plane, and give the whole back. A node's messages grow with the square
 * root of the fleet at most, and the loss of one aggregator leaves the other plane whole. A small fleet has no groups.
 *
 * @param self the node
 * @param groups the number of groups; 1 where every node tells every other one
 * @param members the nodes of this node's group that are alive, itself excluded
 * @param aggregators for each group, its aggregators in the order of their planes
 */
record AggregationPlan(NodeId self, int groups, List<NodeId> members, List<List<NodeId>> aggregators) {
    /** Up to this size reports to all cost less than the sums that replace them. */
    static final int MAX_UNGROUPED_NODES = 16;

    /** Planes that work side by side. */
    static final int PLANES = 2;

    /** Puts the sizes at which the number of groups changes between the usual sizes of fleets. */
    private static final double GROUPS_PER_ROOT = 1.4;

    AggregationPlan {
        requireNonNull(self, "self");
        members = List.copyOf(members);
        aggregators = List.copyOf(aggregators);
    }

    /** Returns the plan of a node that knows no other. */
    static AggregationPlan ofSingleNode(NodeId self) {
        return new AggregationPlan(self, 1, List.of(), List.of());
    }

    /**
     * Makes the plan for a fleet.
     *
     * @param self the node
     * @param alive the other nodes that are alive
     * @param registered how many nodes are registered, alive or not
     * @return the plan; all nodes that know the same nodes make the same groups
     */
    static AggregationPlan of(NodeId self, Collection<NodeId> alive, int registered) {
        int groups = groups(Math.max(registered, alive.size() + 1));
        if (groups == 1) {
            return new AggregationPlan(self, 1, List.copyOf(alive), List.of());
        }
        List<List<NodeId>> sorted = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            sorted.add(new ArrayList<>());
        }
        alive.forEach(id -> sorted.get(group(id, groups)).add(id));
        List<NodeId> members = List.copyOf(sorted.get(group(self, groups)));
        sorted.get(group(self, groups)).add(self);
        List<List<NodeId>> aggregators = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            List<NodeId> ranked = Rendezvous.rank("share/" + i, sorted.get(i), NodeId::value);
            aggregators.add(ranked.subList(0, Math.min(PLANES, ranked.size())));
        }
        return new AggregationPlan(self, groups, members, aggregators);
    }

    /** Tells whether nodes report to aggregators rather than to each other. */
    boolean isGrouped() {
        return groups > 1;
    }

    /** Tells whether a node is in this node's group. */
    boolean inSameGroup(NodeId id) {
        return group(id, groups) == group();
    }

    /** Returns the number of this node's group. */
    int group() {
        return group(self, groups);
    }

    /** Returns the plane in which this node adds up; empty if it does not. */
    Optional<Integer> ownPlane() {
        int plane = isGrouped() ? aggregators.get(group()).indexOf(self) : -1;
        return plane < 0 ? Optional.empty() : Optional.of(plane);
    }

    /** Returns the nodes that take this node's reports. */
    List<NodeId> reportTargets() {
        return isGrouped()
                ? aggregators.get(group()).stream()
                        .filter(id -> !id.equals(self))
                        .toList()
                : members;
    }

    /** Returns the aggregators of the other groups in a plane. */
    List<NodeId> otherAggregators(int plane) {
        List<NodeId> others = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            if (i != group() && aggregators.get(i).size() > plane) {
                others.add(aggregators.get(i).get(plane));
            }
        }
        return others;
    }

    private static int groups(int nodes) {
        return nodes <= MAX_UNGROUPED_NODES ? 1 : Integer.highestOneBit((int) (GROUPS_PER_ROOT * Math.sqrt(nodes)));
    }

    private static int group(NodeId id, int groups) {
        return (int) Math.floorMod(Rendezvous.score("share/groups", id.value()), (long) groups);
    }
}
