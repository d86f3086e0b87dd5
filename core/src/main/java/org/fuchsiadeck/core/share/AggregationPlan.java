package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Rendezvous;

import static java.util.Objects.requireNonNull;

/**
 * The assignment of entry nodes to groups and aggregators, which add up usage in a large fleet. There are about as many
 * groups as members per group. Each group has two aggregators, one for each of two independent planes. An aggregator
 * receives the reports of its group's members, exchanges group sums with the aggregators of the other groups in its
 * plane, and sends each member the total of all other nodes. A node's messages thus grow with the square root of the
 * fleet at most, and the loss of one aggregator leaves the other plane complete. A small fleet has no groups: every
 * node reports to every other one.
 *
 * @param self the id of this node
 * @param groups the number of groups; 1 if every node reports to every other one
 * @param members the live nodes of this node's group, excluding this node
 * @param aggregators the aggregators of each group, in the order of their planes; empty without groups
 */
record AggregationPlan(NodeId self, int groups, List<NodeId> members, List<List<NodeId>> aggregators) {
    /** The greatest fleet without groups: up to this size, reports to all nodes cost less than sums would. */
    static final int MAX_UNGROUPED_NODES = 16;

    /** The number of planes, each of which aggregates the usage of the whole fleet. */
    static final int PLANES = 2;

    /**
     * The groups per square root of the fleet size, before rounding down to a power of 2. The factor keeps the sizes at
     * which the number of groups changes away from usual fleet sizes.
     */
    private static final double GROUPS_PER_ROOT = 1.4;

    AggregationPlan {
        requireNonNull(self, "self");
        members = List.copyOf(members);
        aggregators = List.copyOf(aggregators);
    }

    /** Returns the plan of a node that knows no other nodes. */
    static AggregationPlan ofSingleNode(NodeId self) {
        return new AggregationPlan(self, 1, List.of(), List.of());
    }

    /**
     * Creates the plan for a fleet.
     *
     * @param self the id of this node
     * @param alive the other live nodes
     * @param registered the number of registered nodes, alive or not
     * @return the plan; nodes that know the same nodes create the same groups
     */
    static AggregationPlan of(NodeId self, Collection<NodeId> alive, int registered) {
        int groups = groups(Math.max(registered, alive.size() + 1));
        if (groups == 1) {
            return new AggregationPlan(self, 1, List.copyOf(alive), List.of());
        }
        List<List<NodeId>> grouped = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            grouped.add(new ArrayList<>());
        }
        alive.forEach(id -> grouped.get(group(id, groups)).add(id));
        List<NodeId> members = List.copyOf(grouped.get(group(self, groups)));
        grouped.get(group(self, groups)).add(self);
        List<List<NodeId>> aggregators = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            List<NodeId> ranked = Rendezvous.rank("share/" + i, grouped.get(i), NodeId::value);
            aggregators.add(ranked.subList(0, Math.min(PLANES, ranked.size())));
        }
        return new AggregationPlan(self, groups, members, aggregators);
    }

    /** Returns whether nodes report to aggregators rather than to each other. */
    boolean isGrouped() {
        return groups > 1;
    }

    /** Returns whether a node is in this node's group. */
    boolean inSameGroup(NodeId id) {
        return group(id, groups) == group();
    }

    /** Returns the number of this node's group. */
    int group() {
        return group(self, groups);
    }

    /** Returns the plane in which this node is an aggregator; empty if it is none. */
    Optional<Integer> ownPlane() {
        int plane = isGrouped() ? aggregators.get(group()).indexOf(self) : -1;
        return plane < 0 ? Optional.empty() : Optional.of(plane);
    }

    /** Returns the nodes that this node sends its reports to. */
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
