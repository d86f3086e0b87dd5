package org.fuchsiadeck.core.share;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.speed.ServerTimes;

import static java.util.Objects.requireNonNull;

/**
 * The usage of all entry nodes as this node knows it, and what the shared limits still allow. A registered node without
 * a recent report is assumed to use an equal share of every limit. The names of the components appear in the state
 * dump.
 *
 * @param rules the limits
 * @param own the usage of this node
 * @param hearing the usage last reported by the other nodes
 * @param nodes the number of registered entry nodes, including this one
 * @param offsetMs the time of day minus this node's monotonic clock, in milliseconds; the median over all nodes
 * @param past the usage from before the known process runs
 * @param serversSentMs when figures of backend servers were last sent, in milliseconds
 * @param bursts what the teams may still spend beyond the rates of their quotas
 */
public record ShareState(
        ShareRules rules,
        LocalUsage own,
        PeerUsage hearing,
        int nodes,
        long offsetMs,
        PriorUsage past,
        long serversSentMs,
        BurstAllowances bursts) {
    /** The fraction of a quota's tolerance that is granted; the rest is reserved for nodes that decide concurrently. */
    private static final double GRANTED_TOLERANCE = 0.2;

    /**
     * The fraction of a quota's tolerance that offsets unknown earlier usage, of which only an upper bound is known.
     */
    private static final double UNKNOWN_USAGE_TOLERANCE = 0.3;

    /** The fraction of the retry slack that is granted: nodes decide concurrently, on reports that lag behind. */
    private static final double GRANTED_RETRY_SLACK = 0.5;

    /** The time over which the current rate of spending is measured, in milliseconds. */
    static final long RECENT_MS = 500;

    /** The placeholder for the id of this node until it has started. */
    private static final NodeId UNKNOWN_SELF = new NodeId("-");

    /** The number of past usage windows that are stored: those whose report may still be due. */
    private static final int RECORDED_WINDOWS = 4;

    /** The age at which a report no longer describes the present, in milliseconds: several report intervals. */
    static final long MAX_REPORT_AGE_MS = 1_500;

    /** The same in a fleet with groups, where reports and sums arrive every half second and one may be lost. */
    private static final long MAX_GROUPED_REPORT_AGE_MS = 2_000;

    public ShareState {
        requireNonNull(rules, "rules");
        requireNonNull(own, "own");
        requireNonNull(hearing, "hearing");
        requireNonNull(past, "past");
        requireNonNull(bursts, "bursts");
    }

    /**
     * Returns the state of a node that is about to start.
     *
     * @param rules the limits
     * @return the state
     */
    public static ShareState initial(ShareRules rules) {
        return new ShareState(
                rules,
                LocalUsage.NONE,
                PeerUsage.empty(UNKNOWN_SELF),
                1,
                0,
                PriorUsage.NOT_LOADED,
                Long.MIN_VALUE / 2,
                BurstAllowances.NONE);
    }

    /**
     * A team's usage and limit in the quota window. The limit excludes the shares of registered nodes without a recent
     * report, since these are assumed to use them.
     *
     * @param used the units spent in the quota window
     * @param limit the units that may be spent in the quota window
     * @param reportingNodes the number of nodes with recent reports, including this one
     * @param demand the units that requests at all nodes have asked for recently, in about the time that a report takes
     *     to reach all nodes
     * @param available the units that may be spent in that time; infinite if only the limit of the window applies
     */
    public record QuotaStatus(double used, double limit, int reportingNodes, double demand, double available) {
        /**
         * Returns by how much a request would exceed the limit.
         *
         * @param units the request's cost
         * @return the excess in units; 0 if the request is within the limit
         */
        public double excess(long units) {
            return Math.max(0, used + units - limit);
        }

        /**
         * Returns whether a request may be admitted. All nodes see the same units become free. If the demand exceeds
         * them, each request is admitted with the same probability, so that the nodes together admit no more than is
         * free.
         *
         * @param units the request's cost
         * @param draw a uniformly distributed random number from 0 to 1
         * @return whether the request is within the limit and was drawn
         */
        public boolean admits(long units, double draw) {
            return excess(units) <= 0 && draw * demand <= Math.min(limit - used, available);
        }

        /**
         * Returns how long it takes until the team's present demand could be admitted at the rate that is available.
         *
         * @return the time, in milliseconds; 0 if the demand is not limited by the rate
         */
        public long drainMs() {
            return demand <= available || available <= 0 ? 0 : Math.round(RECENT_MS * demand / available);
        }
    }

    /**
     * Returns a team's usage and limit over all nodes, as far as they are known.
     *
     * @param nowMs the time, in milliseconds
     * @param team the team
     * @param quota the team's quota, which must have a limit
     * @return the usage and the limit
     */
    public QuotaStatus quotaStatus(long nowMs, TeamId team, Quota quota) {
        return status(nowMs, team, quota, Double.POSITIVE_INFINITY);
    }

    /**
     * Returns the same where a team that has used up its burst is admitted at its rate. Otherwise a team that sends many
     * times its rate spends the whole window at once and is refused nearly everything until the window has passed.
     *
     * @param nowMs the time, in milliseconds
     * @param team the team
     * @param quota the team's quota, which must have a limit
     * @return the usage and the limit
     */
    public QuotaStatus pacedQuotaStatus(long nowMs, TeamId team, Quota quota) {
        double available = bursts.available(team, quota, RECENT_MS);
        return status(nowMs, team, quota, available * coveredFraction(nowMs));
    }

    private QuotaStatus status(long nowMs, TeamId team, Quota quota, double available) {
        return new QuotaStatus(
                usedUnits(nowMs, team, quota),
                limit(nowMs, quota),
                reportingNodes(nowMs),
                recentDemand(nowMs, team),
                available);
    }

    /** Updates what the teams may spend beyond their rates by what all nodes have spent recently. */
    ShareState withBursts(long nowMs, Collection<Team> teams) {
        BurstAllowances next = bursts.after(nowMs, teams, t -> recentlySpent(nowMs, t) / RECENT_MS);
        return new ShareState(rules, own, hearing, nodes, offsetMs, past, serversSentMs, next);
    }

    private double recentlySpent(long nowMs, TeamId team) {
        return own.spent(team, nowMs - RECENT_MS).total()
                + hearing.maxSum(r ->
                        r.isFresh(nowMs, maxReportAgeMs()) ? r.report().lately().getOrDefault(team, 0L) : 0);
    }

    private double recentDemand(long nowMs, TeamId team) {
        long from = nowMs - RECENT_MS;
        long local = own.spent(team, from).total() + own.refused(team, from).total();
        return local
                + hearing.maxSum(r -> r.isFresh(nowMs, maxReportAgeMs())
                        ? r.report().lately().getOrDefault(team, 0L)
                                + r.report().refused().getOrDefault(team, 0L)
                        : 0);
    }

    /**
     * Returns whether a service may get one more retry.
     *
     * @param nowMs the time, in milliseconds
     * @param service the name of the service
     * @return whether all nodes together stay within the retry budget of the service
     */
    public boolean allowsRetry(long nowMs, String service) {
        double requests = requests(nowMs, service);
        return retries(nowMs, service) + 1
                <= requests * rules.retryRatio() + rules.retrySlack() * GRANTED_RETRY_SLACK * coveredFraction(nowMs);
    }

    private double peerServiceUsage(long nowMs, String service, ToLongFunction<ShareReport.ServiceUse> amount) {
        return hearing.maxSum(r -> {
            ShareReport.ServiceUse use = r.report().services().get(service);
            return use == null ? 0 : amount.applyAsLong(use) * remainingFraction(nowMs, r, rules.retryWindowMs());
        });
    }

    /**
     * Returns the number of attempts that the other nodes have in progress at a backend server.
     *
     * @param nowMs the time, in milliseconds
     * @param server the backend server
     * @return the number according to recent reports
     */
    public int inFlightElsewhere(long nowMs, BackendId server) {
        return (int) hearing.maxSum(r -> r.hasFreshServers(nowMs, maxReportAgeMs())
                ? r.report().inFlight().getOrDefault(server, 0)
                : 0);
    }

    /**
     * Returns the number of attempts that the other nodes have in progress at several backend servers. The sum of the
     * numbers of single servers would be too great, since each of them is the greatest of several sources.
     *
     * @param nowMs the time, in milliseconds
     * @param servers the backend servers
     * @return the number according to recent reports
     */
    public int inFlightElsewhere(long nowMs, Collection<BackendId> servers) {
        return (int) hearing.maxSum(r -> {
            if (!r.hasFreshServers(nowMs, maxReportAgeMs())) {
                return 0;
            }
            Map<BackendId, Integer> reported = r.report().inFlight();
            return servers.stream().mapToInt(id -> reported.getOrDefault(id, 0)).sum();
        });
    }

    /**
     * Returns the number of prompt tokens that a backend server has yet to process for the other nodes.
     *
     * @param nowMs the time, in milliseconds
     * @param server the backend server
     * @return the number of tokens according to recent reports
     */
    public int unreadElsewhere(long nowMs, BackendId server) {
        return (int) hearing.maxSum(r ->
                r.hasFreshServers(nowMs, maxReportAgeMs()) ? r.report().unread().getOrDefault(server, 0) : 0);
    }

    /**
     * Returns the number of nodes whose attempts at backend servers are known from recent reports.
     *
     * @param nowMs the time, in milliseconds
     * @return the number of nodes, including this one
     */
    public int nodesWithServerReports(long nowMs) {
        return 1 + (int) hearing.maxSum(r -> r.hasFreshServers(nowMs, maxReportAgeMs()) ? r.nodes() : 0);
    }

    /**
     * Returns the sums of observed and expected times at a backend server over the other nodes.
     *
     * @param server the backend server
     * @return the sums according to the source that covers most
     */
    public ServerTimes serverTimesElsewhere(BackendId server) {
        return hearing.serverTimes(server);
    }

    /**
     * Returns the time of day by the median of the nodes' clocks, so that a step of this node's own clock has no
     * effect.
     *
     * @param nowMs the time, in milliseconds of the monotonic clock
     * @return milliseconds since 1970
     */
    public long medianWallMs(long nowMs) {
        return nowMs + offsetMs;
    }

    /**
     * Returns whether recent reports cover all registered nodes.
     *
     * @param nowMs the time, in milliseconds
     * @return whether no node is missing
     */
    public boolean hasReportsFromAllNodes(long nowMs) {
        return reportingNodes(nowMs) >= nodes;
    }

    /**
     * Returns the requests of all nodes that backend servers started to process in a usage window.
     *
     * @param window the number of the window
     * @return the number of requests, by team
     */
    public Map<TeamId, Long> begunRequests(long window) {
        Map<TeamId, Long> counts = begunInReportedRuns(window);
        if (past.precedes(earliestStartMs())) {
            past.begun(window).forEach((t, n) -> counts.merge(t, n, Long::sum));
        }
        return counts;
    }

    /** Returns the same requests without those from before the known process runs. */
    Map<TeamId, Long> begunInReportedRuns(long window) {
        Map<TeamId, Long> counts = new TreeMap<>();
        own.begun().get(window).forEach(m -> m.forEach((t, n) -> counts.merge(t, n, Long::sum)));
        Set<TeamId> teams = new TreeSet<>();
        hearing.forEach(r -> teams.addAll(reportedRequests(r, window).keySet()));
        teams.forEach(t -> counts.merge(
                t, (long) hearing.maxSum(r -> reportedRequests(r, window).getOrDefault(t, 0L)), Long::sum));
        return counts;
    }

    private static Map<TeamId, Long> reportedRequests(PeerUsage.ReceivedReport received, long window) {
        return received.report().begun().getOrDefault(window, Map.of());
    }

    /**
     * Returns the usage of all nodes to be stored, so that it survives a restart of all nodes.
     *
     * @param nowMs the time, in milliseconds
     * @return the record; empty while part of the usage is not known
     */
    public Optional<UsageRecord> usageRecord(long nowMs) {
        boolean complete = past.precedes(earliestStartMs()) || earliestStartMs() <= nowMs - rules.quotaWindowMs();
        if (!complete || !hasReportsFromAllNodes(nowMs)) {
            return Optional.empty();
        }
        Set<TeamId> teams = new TreeSet<>(own.spent().keySet().toJavaSet());
        Set<Long> windows = new TreeSet<>(own.begun().keySet().toJavaSet());
        hearing.forEach(r -> {
            teams.addAll(r.report().spent().keySet());
            windows.addAll(r.report().begun().keySet());
        });
        past.record().ifPresent(r -> {
            teams.addAll(r.spent().keySet());
            windows.addAll(r.begun().keySet());
        });
        Map<TeamId, Long> spent = new TreeMap<>();
        teams.forEach(t -> spent.put(t, Math.round(countedUnits(nowMs, t) + priorUnits(nowMs, t, 0))));
        Map<Long, Map<TeamId, Long>> begun = new TreeMap<>();
        long oldest = Math.floorDiv(medianWallMs(nowMs), rules.usageWindowMs()) - RECORDED_WINDOWS;
        windows.stream().filter(w -> w >= oldest).forEach(w -> begun.put(w, begunRequests(w)));
        return Optional.of(new UsageRecord(medianWallMs(nowMs), spent, begun));
    }

    /**
     * Returns the units that a team has spent in the quota window, over all nodes with a recent report. Without recent
     * reports these are the units of this node alone.
     *
     * @param nowMs the time, in milliseconds
     * @param team the team
     * @return the units
     */
    public double recentlySpentUnits(long nowMs, TeamId team) {
        long window = rules.quotaWindowMs();
        double elsewhere = hearing.maxSum(r -> r.isFresh(nowMs, maxReportAgeMs())
                ? r.report().spent().getOrDefault(team, 0L) * remainingFraction(nowMs, r, window)
                : 0);
        return own.spent(team, nowMs - window).total() + elsewhere;
    }

    /**
     * Returns a team's units in the window: the counted units, and the covered fraction of earlier or unknown usage.
     */
    private double usedUnits(long nowMs, TeamId team, Quota quota) {
        long from = nowMs - rules.quotaWindowMs();
        long knownUntil = past.precedes(earliestStartMs()) ? Math.max(from, past.atMs()) : from;
        double unknown = quota.ratePerSecond() * Math.max(0, earliestStartMs() - knownUntil) / 1_000;
        double charged = Math.max(0, unknown - UNKNOWN_USAGE_TOLERANCE * tolerance(quota));
        return countedUnits(nowMs, team) + (priorUnits(nowMs, team, quota.burst()) + charged) * coveredFraction(nowMs);
    }

    /**
     * Returns the units of a team in the quota window that the known process runs have counted, extrapolated to now.
     */
    double countedUnits(long nowMs, TeamId team) {
        long window = rules.quotaWindowMs();
        double reported =
                hearing.maxSum(r -> r.report().spent().getOrDefault(team, 0L) * remainingFraction(nowMs, r, window)
                        + r.report().lately().getOrDefault(team, 0L) * recentPeriodsSince(nowMs, r));
        return own.spent(team, nowMs - window).total() + reported;
    }

    /**
     * Returns the units of a team in the quota window from before the known process runs, as far as they were stored.
     */
    private double priorUnits(long nowMs, TeamId team, double burst) {
        return past.precedes(earliestStartMs()) ? past.maxSpent(nowMs, team, rules.quotaWindowMs(), burst) : 0;
    }

    /** Returns when the oldest known process run started, in milliseconds of the monotonic clock. */
    long earliestStartMs() {
        long[] earliest = {own.startedMs()};
        hearing.forEach(
                r -> earliest[0] = Math.min(earliest[0], r.atMs() - r.report().ageMs()));
        return earliest[0];
    }

    /** Returns the units by which a quota may be exceeded in a window. */
    private double tolerance(Quota quota) {
        return windowQuota(quota) * rules.quotaOverage() + rules.quotaSlack();
    }

    /** Returns the units of a quota in a window, including its burst. */
    private double windowQuota(Quota quota) {
        return quota.ratePerSecond() * rules.quotaWindowMs() / 1_000 + quota.burst();
    }

    private double limit(long nowMs, Quota quota) {
        return (windowQuota(quota) + GRANTED_TOLERANCE * tolerance(quota)) * coveredFraction(nowMs);
    }

    /**
     * Returns for how long a node is assumed to have spent on since its report, in multiples of the time over which the
     * rate of spending is measured. It is limited to the age at which reports no longer describe the present.
     */
    private static double recentPeriodsSince(long nowMs, PeerUsage.ReceivedReport received) {
        return Math.min(nowMs - received.atMs(), MAX_GROUPED_REPORT_AGE_MS) / (double) RECENT_MS;
    }

    /** Returns the fraction of a report that still lies in a window, assuming that its counts were spread evenly. */
    private static double remainingFraction(long nowMs, PeerUsage.ReceivedReport received, long windowMs) {
        return Math.max(0, 1 - (double) (nowMs - received.atMs()) / windowMs);
    }

    /** Returns the fraction of the limits that remains without the shares of nodes that have not reported recently. */
    private double coveredFraction(long nowMs) {
        return Math.min(1, (double) reportingNodes(nowMs) / Math.max(1, nodes));
    }

    /**
     * Returns the newest revision of keys in the platform's key-value service that another node has seen.
     *
     * @param prefix the prefix of the keys
     * @return the revision; 0 if none was reported
     */
    public long newestPeerRevision(String prefix) {
        long[] newest = {0};
        hearing.forEach(r -> newest[0] = Math.max(newest[0], r.report().newest().getOrDefault(prefix, 0L)));
        return newest[0];
    }

    /**
     * Returns whether the platform's key-value service has answered another node without interruption, so that an
     * outage seen by this node concerned this node alone.
     *
     * @param nowMs the time, in milliseconds
     * @return whether another node has reported so recently
     */
    public boolean platformServesPeers(long nowMs) {
        return hearing.maxSum(r -> r.isFresh(nowMs, maxReportAgeMs())
                        ? r.report().newest().getOrDefault(ShareReport.SERVED, 0L)
                        : 0)
                > 0;
    }

    /**
     * Returns the rate at which callers send requests to a service, over all nodes.
     *
     * @param nowMs the time, in milliseconds
     * @param service the name of the service
     * @return the requests per second, averaged over the retry window
     */
    public double requestsPerS(long nowMs, String service) {
        return requests(nowMs, service) * 1_000 / rules.retryWindowMs();
    }

    ShareReport.ServiceUse serviceUse(View view, String service) {
        long nowMs = view.nowMs();
        int waitingHere = view.work().waitingRequests().getOrDefault(service, 0);
        return new ShareReport.ServiceUse(
                Math.round(requests(nowMs, service)),
                Math.round(retries(nowMs, service)),
                waitingHere + waitingElsewhere(nowMs, service));
    }

    /**
     * Returns the number of requests of a service that are queued at the other nodes.
     *
     * @param nowMs the time, in milliseconds
     * @param service the name of the service
     * @return the number according to recent reports
     */
    public int waitingElsewhere(long nowMs, String service) {
        return (int) hearing.maxSum(r -> {
            ShareReport.ServiceUse use = r.report().services().get(service);
            return use == null || !r.isFresh(nowMs, maxReportAgeMs()) ? 0 : use.waiting();
        });
    }

    private double requests(long nowMs, String service) {
        long local = own.requests(service, nowMs - rules.retryWindowMs()).total();
        return local + peerServiceUsage(nowMs, service, ShareReport.ServiceUse::requests);
    }

    private double retries(long nowMs, String service) {
        long local = own.repeats(service, nowMs - rules.retryWindowMs()).total();
        return local + peerServiceUsage(nowMs, service, ShareReport.ServiceUse::repeats);
    }

    /**
     * Returns the number of nodes that recent reports cover.
     *
     * @param nowMs the time, in milliseconds
     * @return the number of nodes, including this one
     */
    public int reportingNodes(long nowMs) {
        return 1 + (int) hearing.maxSum(r -> r.isFresh(nowMs, maxReportAgeMs()) ? r.nodes() : 0);
    }

    /** Returns the age at which reports no longer describe the present, in milliseconds. */
    long maxReportAgeMs() {
        return hearing.plan().isGrouped() ? MAX_GROUPED_REPORT_AGE_MS : MAX_REPORT_AGE_MS;
    }

    /** Returns the median of clock offsets; of two middle ones, the greater. */
    static long median(List<Long> offsets) {
        List<Long> sorted = offsets.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    ShareState with(ShareRules next) {
        return new ShareState(next, own, hearing, nodes, offsetMs, past, serversSentMs, bursts);
    }

    ShareState with(LocalUsage next) {
        return new ShareState(rules, next, hearing, nodes, offsetMs, past, serversSentMs, bursts);
    }

    ShareState with(PeerUsage next) {
        return new ShareState(rules, own, next, nodes, offsetMs, past, serversSentMs, bursts);
    }

    ShareState withNodes(int next) {
        return new ShareState(rules, own, hearing, next, offsetMs, past, serversSentMs, bursts);
    }

    ShareState withOffset(long next) {
        return new ShareState(rules, own, hearing, nodes, next, past, serversSentMs, bursts);
    }

    ShareState with(PriorUsage next) {
        return new ShareState(rules, own, hearing, nodes, offsetMs, next, serversSentMs, bursts);
    }

    ShareState withServersSent(long nowMs) {
        return new ShareState(rules, own, hearing, nodes, offsetMs, past, nowMs, bursts);
    }
}
