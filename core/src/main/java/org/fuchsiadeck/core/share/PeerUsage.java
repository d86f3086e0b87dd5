package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * What a node hears of the others' use. The same use may come in several ways, each of which counts every node once: by
 * the reports and sums that an aggregator takes, and by the sum that each plane's aggregator gives back. A way may lack
 * nodes but has none twice, so the most that any of them tells is nearest to the truth.
 *
 * @param plan who adds up
 * @param runs the last report of each run of other nodes
 * @param sums the last sums, by their plane and group
 * @param ways what is heard, in each way
 */
record PeerUsage(
        AggregationPlan plan,
        Map<Run, ReceivedReport> runs,
        Map<SumKey, ReceivedReport> sums,
        List<List<ReceivedReport>> ways) {
    PeerUsage {
        requireNonNull(plan, "plan");
        requireNonNull(runs, "runs");
        requireNonNull(sums, "sums");
        ways = List.copyOf(ways);
    }

    /**
     * One run of a node's process.
     *
     * @param node the node
     * @param startedWallMs its time of day when the process started
     */
    record Run(NodeId node, long startedWallMs) {}

    /** Names a sum. */
    record SumKey(int plane, int group) {}

    /**
     * A report or sum, and when it came.
     *
     * @param report what was said
     * @param nodes the nodes it covers
     * @param atMs when it came, in milliseconds
     */
    record ReceivedReport(ShareReport report, int nodes, long atMs) {
        ReceivedReport {
            requireNonNull(report, "report");
        }

        boolean isFresh(long nowMs, long freshMs) {
            return nowMs - atMs < freshMs;
        }
    }

    static PeerUsage empty(NodeId self) {
        return of(AggregationPlan.ofSingleNode(self), HashMap.empty(), HashMap.empty());
    }

    private static PeerUsage of(AggregationPlan plan, Map<Run, ReceivedReport> runs, Map<SumKey, ReceivedReport> sums) {
        List<List<ReceivedReport>> ways = new ArrayList<>();
        if (!plan.isGrouped()) {
            ways.add(runs.values().toJavaList());
            return new PeerUsage(plan, runs, sums, ways);
        }
        plan.ownPlane().ifPresent(plane -> ways.add(withoutRestSums(plan, plane, runs, sums)));
        for (int plane = 0; plane < AggregationPlan.PLANES; plane++) {
            sums.get(new SumKey(plane, ShareSum.REST)).forEach(rest -> ways.add(List.of(rest)));
        }
        return new PeerUsage(plan, runs, sums, ways);
    }

    private static List<ReceivedReport> withoutRestSums(
            AggregationPlan plan, int plane, Map<Run, ReceivedReport> runs, Map<SumKey, ReceivedReport> sums) {
        List<ReceivedReport> direct = new ArrayList<>();
        runs.filterKeys(r -> plan.inSameGroup(r.node())).values().forEach(direct::add);
        for (int group = 0; group < plan.groups(); group++) {
            if (group != plan.group()) {
                sums.get(new SumKey(plane, group)).forEach(direct::add);
            }
        }
        return direct;
    }

    PeerUsage with(AggregationPlan next) {
        return next.equals(plan) ? this : of(next, runs, next.groups() == plan.groups() ? sums : HashMap.empty());
    }

    PeerUsage withReceived(NodeId from, ShareReport report, long nowMs) {
        return of(plan, runs.put(new Run(from, report.startedWallMs()), new ReceivedReport(report, 1, nowMs)), sums);
    }

    /** Takes a sum, unless its sender divides the fleet otherwise: then it may count nodes that are heard elsewhere. */
    PeerUsage withReceived(ShareSum sum, long nowMs) {
        if (sum.groups() != plan.groups()) {
            return this;
        }
        return of(
                plan,
                runs,
                sums.put(new SumKey(sum.plane(), sum.group()), new ReceivedReport(sum.total(), sum.nodes(), nowMs)));
    }

    /** Drops what came before a time. */
    PeerUsage receivedAfter(long fromMs) {
        return of(plan, runs.filterValues(h -> h.atMs() > fromMs), sums.filterValues(h -> h.atMs() > fromMs));
    }

    /** Returns the greatest sum of an amount over all that is heard in one way. */
    double maxSum(ToDoubleFunction<ReceivedReport> amount) {
        double most = 0;
        for (List<ReceivedReport> way : ways) {
            double sum = 0;
            for (ReceivedReport heard : way) {
                sum += amount.applyAsDouble(heard);
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    /** Hands out all that is heard, in whatever way. */
    void forEach(Consumer<ReceivedReport> taker) {
        ways.forEach(way -> way.forEach(taker));
    }

    /** Tells whether a node's own report came lately. */
    boolean hasFreshReport(NodeId node, long nowMs, long freshMs) {
        return runs.exists(r -> r._1.node().equals(node) && r._2.isFresh(nowMs, freshMs));
    }

    /** Returns the same without the last run of a node. */
    PeerUsage without(NodeId node) {
        Run last = null;
        for (Run run : runs.keySet()) {
            boolean later = last == null || run.startedWallMs() > last.startedWallMs();
            if (run.node().equals(node) && later) {
                last = run;
            }
        }
        return last == null ? this : of(plan, runs.remove(last), sums);
    }

    /** Returns what is heard of the members of this node's group alone. */
    PeerUsage groupOnly() {
        return of(plan, runs, HashMap.empty());
    }

    /** Returns what this node adds up itself, without what other aggregators gave back. */
    PeerUsage withoutRestSums() {
        return of(plan, runs, sums.filterKeys(s -> s.group() != ShareSum.REST));
    }
}
