package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.speed.ServerTimes;

import static java.util.Objects.requireNonNull;

/**
 * The usage of the other entry nodes, from the last reports and sums that this node received. The same usage may arrive
 * through several sources: the reports and group sums that an aggregator receives, and the total that the aggregator of
 * each plane returns. A source may lack nodes but counts none twice, so the greatest value of any source is the most
 * accurate.
 *
 * @param plan the assignment of nodes to groups and aggregators
 * @param runs the last report of each process run of the other nodes
 * @param sums the last sums, by plane and group
 * @param ways the received reports and sums, by source; they are derived from the other components
 */
record PeerUsage(
        AggregationPlan plan,
        Map<Run, ReceivedReport> runs,
        Map<Sum, ReceivedReport> sums,
        List<List<ReceivedReport>> ways) {
    PeerUsage {
        requireNonNull(plan, "plan");
        requireNonNull(runs, "runs");
        requireNonNull(sums, "sums");
        ways = List.copyOf(ways);
    }

    /**
     * The key of a report: one run of a node's process.
     *
     * @param node the node
     * @param startedWallMs the node's time of day when the process started, in milliseconds since 1970
     */
    record Run(NodeId node, long startedWallMs) {}

    /** The key of a sum: the plane of its sender and the group that it covers. */
    record Sum(int plane, int group) {}

    /**
     * The times of a backend server with the time of their arrival.
     *
     * @param sums the sums of times
     * @param atMs the time of arrival, in milliseconds
     */
    record ReceivedTimes(ServerTimes sums, long atMs) {}

    /**
     * A report or sum with the time of its arrival.
     *
     * @param report the usage
     * @param nodes the number of nodes that it covers
     * @param atMs the time of arrival, in milliseconds
     * @param serversAtMs the time of arrival of the figures of backend servers, which may be older, in milliseconds
     * @param times the times of backend servers, from this report and earlier ones, each of which has a part of them
     */
    record ReceivedReport(
            ShareReport report, int nodes, long atMs, long serversAtMs, Map<BackendId, ReceivedTimes> times) {
        /** Age at which the times of a server that is in no report any more are dropped, in milliseconds. */
        private static final long TIMES_RETENTION_MS = 600_000;

        /** Time between checks for old times, in milliseconds. */
        private static final long TIMES_CHECK_MS = 60_000;

        ReceivedReport {
            requireNonNull(report, "report");
            requireNonNull(times, "times");
        }

        /** Returns the report as received, with the figures of backend servers of the one before if it has none. */
        static ReceivedReport of(ShareReport report, int nodes, long atMs, Option<ReceivedReport> before) {
            boolean whole = report.hasServers() || before.isEmpty();
            Map<BackendId, ReceivedTimes> times = times(report, atMs, before);
            return whole
                    ? new ReceivedReport(report, nodes, atMs, atMs, times)
                    : new ReceivedReport(
                            report.withServersOf(before.get().report()),
                            nodes,
                            atMs,
                            before.get().serversAtMs(),
                            times);
        }

        private static Map<BackendId, ReceivedTimes> times(
                ShareReport report, long atMs, Option<ReceivedReport> before) {
            Map<BackendId, ReceivedTimes> times =
                    before.map(ReceivedReport::times).getOrElse(HashMap.empty());
            boolean check =
                    before.exists(b -> Math.floorDiv(b.atMs, TIMES_CHECK_MS) != Math.floorDiv(atMs, TIMES_CHECK_MS));
            if (check) {
                times = times.filterValues(t -> atMs - t.atMs() < TIMES_RETENTION_MS);
            }
            for (java.util.Map.Entry<BackendId, ServerTimes> entry :
                    report.serverTimes().entrySet()) {
                times = times.put(entry.getKey(), new ReceivedTimes(entry.getValue(), atMs));
            }
            return times;
        }

        boolean isFresh(long nowMs, long maxAgeMs) {
            return nowMs - atMs < maxAgeMs;
        }

        boolean hasFreshServers(long nowMs, long maxAgeMs) {
            return nowMs - serversAtMs < maxAgeMs;
        }
    }

    static PeerUsage empty(NodeId self) {
        return of(AggregationPlan.ofSingleNode(self), HashMap.empty(), HashMap.empty());
    }

    private static PeerUsage of(AggregationPlan plan, Map<Run, ReceivedReport> runs, Map<Sum, ReceivedReport> sums) {
        List<List<ReceivedReport>> sources = new ArrayList<>();
        if (!plan.isGrouped()) {
            sources.add(runs.values().toJavaList());
            return new PeerUsage(plan, runs, sums, sources);
        }
        plan.ownPlane().ifPresent(plane -> sources.add(aggregatorSource(plan, plane, runs, sums)));
        for (int plane = 0; plane < AggregationPlan.PLANES; plane++) {
            sums.get(new Sum(plane, ShareSum.REST)).forEach(rest -> sources.add(List.of(rest)));
        }
        return new PeerUsage(plan, runs, sums, sources);
    }

    /** Returns the reports and group sums that this node adds up as the aggregator of a plane. */
    private static List<ReceivedReport> aggregatorSource(
            AggregationPlan plan, int plane, Map<Run, ReceivedReport> runs, Map<Sum, ReceivedReport> sums) {
        List<ReceivedReport> source = new ArrayList<>();
        runs.filterKeys(r -> plan.inSameGroup(r.node())).values().forEach(source::add);
        for (int group = 0; group < plan.groups(); group++) {
            if (group != plan.group()) {
                sums.get(new Sum(plane, group)).forEach(source::add);
            }
        }
        return source;
    }

    PeerUsage with(AggregationPlan next) {
        return next.equals(plan) ? this : of(next, runs, next.groups() == plan.groups() ? sums : HashMap.empty());
    }

    PeerUsage withReceived(NodeId from, ShareReport report, long nowMs) {
        Run run = new Run(from, report.startedWallMs());
        return of(plan, runs.put(run, ReceivedReport.of(report, 1, nowMs, runs.get(run))), sums);
    }

    /** Adds a sum, unless its sender uses another number of groups: it could then count nodes of other sums twice. */
    PeerUsage withReceived(ShareSum sum, long nowMs) {
        if (sum.groups() != plan.groups()) {
            return this;
        }
        Sum key = new Sum(sum.plane(), sum.group());
        return of(plan, runs, sums.put(key, ReceivedReport.of(sum.total(), sum.nodes(), nowMs, sums.get(key))));
    }

    /** Drops the reports and sums received at or before a time. */
    PeerUsage receivedAfter(long fromMs) {
        return of(plan, runs.filterValues(r -> r.atMs() > fromMs), sums.filterValues(r -> r.atMs() > fromMs));
    }

    /** Returns the greatest sum of an amount over any single source. */
    double maxSum(ToDoubleFunction<ReceivedReport> amount) {
        double max = 0;
        for (List<ReceivedReport> source : ways) {
            double sum = 0;
            for (ReceivedReport received : source) {
                sum += amount.applyAsDouble(received);
            }
            max = Math.max(max, sum);
        }
        return max;
    }

    /** Returns the sums of times of a backend server from the source that has most of them. */
    ServerTimes serverTimes(BackendId server) {
        ServerTimes most = ServerTimes.NONE;
        for (List<ReceivedReport> source : ways) {
            ServerTimes sum = ServerTimes.NONE;
            for (ReceivedReport received : source) {
                sum = received.times()
                        .get(server)
                        .map(ReceivedTimes::sums)
                        .map(sum::plus)
                        .getOrElse(sum);
            }
            most = sum.expectedMs() > most.expectedMs() ? sum : most;
        }
        return most;
    }

    /** Passes all reports and sums of all sources to a consumer; nodes may be covered more than once. */
    void forEach(Consumer<ReceivedReport> consumer) {
        ways.forEach(source -> source.forEach(consumer));
    }

    /** Returns whether a report that a node sent itself arrived within the given age. */
    boolean hasFreshReport(NodeId node, long nowMs, long maxAgeMs) {
        return runs.exists(r -> r._1.node().equals(node) && r._2.isFresh(nowMs, maxAgeMs));
    }

    /**
     * Returns the usage without that of the last run of a node. Its earlier runs remain, since a node's own reports
     * cover only its current run.
     */
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

    /** Returns the usage of the members of this node's group only. */
    PeerUsage groupOnly() {
        return of(plan, runs, HashMap.empty());
    }

    /** Returns the usage without the totals that aggregators have sent to this node as a member of its group. */
    PeerUsage withoutRestSums() {
        return of(plan, runs, sums.filterKeys(s -> s.group() != ShareSum.REST));
    }
}
