package org.fuchsiadeck.core.share;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What many nodes together have spent, begun and have in progress, as an aggregator has added it up.
 *
 * @param plane the plane of the aggregator
 * @param groups the number of groups that the aggregator divides the fleet into
 * @param group the group that was added up; {@link #REST} for all nodes but the receiver
 * @param nodes nodes that were heard lately and are part of the sum
 * @param total the sum; its time of day is that of the aggregator's own clock, its age that of the oldest run
 */
public record ShareSum(int plane, int groups, int group, int nodes, ShareReport total) implements PeerMessage {
    /** Stands for all nodes but the receiver. */
    public static final int REST = -1;

    public ShareSum {
        Checks.inRange(plane, 0, AggregationPlan.PLANES - 1, "plane");
        Checks.inRange(groups, 2, Integer.MAX_VALUE, "groups");
        Checks.inRange(group, REST, groups - 1, "group");
        Checks.inRange(nodes, 0, Integer.MAX_VALUE, "nodes");
        requireNonNull(total, "total");
    }
}
