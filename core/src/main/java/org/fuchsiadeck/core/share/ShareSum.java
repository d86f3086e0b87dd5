package org.fuchsiadeck.core.share;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * The total usage of several entry nodes, as computed and sent by an aggregator; see {@link AggregationPlan}.
 *
 * @param plane the plane of the aggregator
 * @param groups the number of groups into which the aggregator divides the nodes
 * @param group the group that the total covers; {@link #REST} for all nodes except the receiver
 * @param nodes the number of nodes in the total that have reported recently
 * @param total the total; its time of day is that of the aggregator's own clock, its age that of the oldest process run
 */
public record ShareSum(int plane, int groups, int group, int nodes, ShareReport total) implements PeerMessage {
    /** The group number of a total over all nodes except the receiver. */
    public static final int REST = -1;

    public ShareSum {
        Checks.inRange(plane, 0, AggregationPlan.PLANES - 1, "plane");
        Checks.inRange(groups, 2, Integer.MAX_VALUE, "groups");
        Checks.inRange(group, REST, groups - 1, "group");
        Checks.inRange(nodes, 0, Integer.MAX_VALUE, "nodes");
        requireNonNull(total, "total");
    }
}
