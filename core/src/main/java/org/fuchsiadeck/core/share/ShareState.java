package org.fuchsiadeck.core.share;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

import org.fuchsiadeck.core.config.Quota;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * What this node has spent and what the others last said. A node that is registered but not heard is taken to use its
 * equal part of every limit.
 *
 * @param rules the limits
 * @param own what this node has spent and begun
 * @param hearing what the other nodes last said
 * @param nodes how many entry nodes are registered, this one included
 * @param offsetMs the time of day less this node's monotonic clock, as most nodes see it, in milliseconds
 * @param past what was spent before any of these runs
 */
public record ShareState(
        ShareRules rules, LocalUsage own, PeerUsage hearing, int nodes, long offsetMs, PriorUsage past) {
    /** Part of what a quota may be exceeded by that is given out; the rest is for nodes that decide at the same time. */
    private static final double USED_SPARE = 0.2;

    /** Part of it that makes up for the time before a node's history, of which only the most is known. */
    private static final double UNKNOWN_SPARE = 0.3;

    /** Part of the slack that is used: nodes decide at the same time, on reports that lag behind. */
    private static final double SAFE_SLACK = 0.5;

    /** Time in which spending tells its present rate, in milliseconds. */
    static final long RECENT_MS = 500;

    /** Stands for this node until it has started and knows its name. */
    private static final NodeId NOBODY = new NodeId("-");

    /** Usage windows that are written down: those whose report may still be due. */
    private static final int KEPT_WINDOWS = 4;

    /** A report older than this says nothing of the present: several times the time between reports. */
    static final long MAX_REPORT_AGE_MS = 1_500;

    /** The same where reports and sums come every half second, and one may be lost. */
    private static final long GROUPED_FRESH_MS = 2_000;

    public ShareState {
        requireNonNull(rules, "rules");
        requireNonNull(own, "own");
        requireNonNull(hearing, "hearing");
        requireNonNull(past, "past");
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param rules the limits
     * @return the state
     */
    public static ShareState initial(ShareRules rules) {
        return new ShareState(rules, LocalUsage.NONE, PeerUsage.empty(NOBODY), 1, 0, PriorUsage.NOT_LOADED);
    }

    /**
     * What a team has spent and may spend, as far as this node can see to it.
     *
     * @param used units in the quota window
     * @param limit units that may be spent in it
     * @param reportingNodes nodes that this one hears, itself included
     * @param demand units that are asked for, at all nodes, in the time until each has heard what the others took
     */
    public record QuotaStatus(double used, double limit, int reportingNodes, double demand) {
        /**
         * Tells by how much a request would exceed the limit.
         *
         * @param units what the request counts for
         * @return units; 0 if it fits
         */
        public double excess(long units) {
            return Math.max(0, used + units - limit);
        }

        /**
         * Tells whether a request may be taken. All nodes see the same units become free; where more is asked for than is
         * free, each request has the same chance, so that nodes together take no more than that.
         *
         * @param units what the request counts for
         * @param draw a random number from 0 to 1
         * @return whether it fits and is drawn
         */
        public boolean admits(long units, double draw) {
            return excess(units) <= 0 && draw * demand <= limit - used;
        }
    }

    /**
     * Returns what a team has spent and may spend.
     *
     * @param nowMs the time, in milliseconds
     * @param team the team
     * @param quota the team's quota, which has a limit
     * @return both, over all nodes as far as they are heard
     */
    public QuotaStatus quotaStatus(long nowMs, TeamId team, Quota quota) {
        return new QuotaStatus(
                used(nowMs, team, quota), limit(nowMs, quota), reportingNodes(nowMs), askedLately(nowMs, team));
    }

    private double askedLately(long nowMs, TeamId team) {
        long from = nowMs - RECENT_MS;
        long here = own.spent(team, from).total() + own.refused(team, from).total();
        return here
                + hearing.maxSum(h -> h.isFresh(nowMs, maxReportAgeMs())
                        ? h.report().lately().getOrDefault(team, 0L)
                                + h.report().refused().getOrDefault(team, 0L)
                        : 0);
    }

    /**
     * Tells whether a service may get one more repeated attempt.
     *
     * @param nowMs the time, in milliseconds
     * @param service the service
     * @return whether all nodes together stay within the budget
     */
    public boolean allowsRetry(long nowMs, String service) {
        double asked = asked(nowMs, service);
        return repeated(nowMs, service) + 1
                <= asked * rules.retryRatio() + rules.retrySlack() * SAFE_SLACK * part(nowMs);
    }

    private double used(long nowMs, String service, ToLongFunction<ShareReport.ServiceUse> amount) {
        return hearing.maxSum(h -> {
            ShareReport.ServiceUse use = h.report().services().get(service);
            return use == null ? 0 : amount.applyAsLong(use) * left(nowMs, h, rules.retryWindowMs());
        });
    }

    /**
     * Returns attempts that the other nodes have in progress at a server.
     *
     * @param nowMs the time, in milliseconds
     * @param server the server
     * @return the number, as last said
     */
    public int inFlightElsewhere(long nowMs, BackendId server) {
        return (int) hearing.maxSum(
                h -> h.isFresh(nowMs, maxReportAgeMs()) ? h.report().inFlight().getOrDefault(server, 0) : 0);
    }

    /**
     * Returns prompt tokens that a server has still to read for the other nodes.
     *
     * @param nowMs the time, in milliseconds
     * @param server the server
     * @return the number of tokens, as last said
     */
    public int unreadElsewhere(long nowMs, BackendId server) {
        return (int) hearing.maxSum(
                h -> h.isFresh(nowMs, maxReportAgeMs()) ? h.report().unread().getOrDefault(server, 0) : 0);
    }

    /**
     * Returns the time of day as most nodes see it, so that a step of this node's own clock has no effect.
     *
     * @param nowMs the time, in milliseconds
     * @return milliseconds since 1970
     */
    public long medianWallMs(long nowMs) {
        return nowMs + offsetMs;
    }

    /**
     * Tells whether every other node that is registered was heard lately.
     *
     * @param nowMs the time, in milliseconds
     * @return whether nobody is missing
     */
    public boolean hasReportsFromAllNodes(long nowMs) {
        return reportingNodes(nowMs) >= nodes;
    }

    /**
     * Returns the requests that servers began in a usage window, over all nodes.
     *
     * @param window the window's number
     * @return the counts by team
     */
    public Map<TeamId, Long> begunRequests(long window) {
        Map<TeamId, Long> all = begunInReportedRuns(window);
        if (past.precedes(earliestStartMs())) {
            past.begun(window).forEach((t, n) -> all.merge(t, n, Long::sum));
        }
        return all;
    }

    Map<TeamId, Long> begunInReportedRuns(long window) {
        Map<TeamId, Long> all = new TreeMap<>();
        own.begun().get(window).forEach(m -> m.forEach((t, n) -> all.merge(t, n, Long::sum)));
        Set<TeamId> teams = new TreeSet<>();
        hearing.forEach(h -> teams.addAll(begun(h, window).keySet()));
        teams.forEach(t ->
                all.merge(t, (long) hearing.maxSum(h -> begun(h, window).getOrDefault(t, 0L)), Long::sum));
        return all;
    }

    private static Map<TeamId, Long> begun(PeerUsage.ReceivedReport heard, long window) {
        return heard.report().begun().getOrDefault(window, Map.of());
    }

    /**
     * Returns what is to be written down, so that it outlasts this run.
     *
     * @param nowMs the time, in milliseconds
     * @return the use of all nodes; empty while part of it is not known
     */
    public Optional<UsageRecord> usageRecord(long nowMs) {
        boolean whole = past.precedes(earliestStartMs()) || earliestStartMs() <= nowMs - rules.quotaWindowMs();
        if (!whole || !hasReportsFromAllNodes(nowMs)) {
            return Optional.empty();
        }
        Set<TeamId> teams = new TreeSet<>(own.spent().keySet().toJavaSet());
        Set<Long> windows = new TreeSet<>(own.begun().keySet().toJavaSet());
        hearing.forEach(h -> {
            teams.addAll(h.report().spent().keySet());
            windows.addAll(h.report().begun().keySet());
        });
        past.record().ifPresent(r -> {
            teams.addAll(r.spent().keySet());
            windows.addAll(r.begun().keySet());
        });
        Map<TeamId, Long> spent = new TreeMap<>();
        teams.forEach(t -> spent.put(t, Math.round(countedUnits(nowMs, t) + before(nowMs, t, 0))));
        Map<Long, Map<TeamId, Long>> begun = new TreeMap<>();
        long oldest = Math.floorDiv(medianWallMs(nowMs), rules.usageWindowMs()) - KEPT_WINDOWS;
        windows.stream().filter(w -> w >= oldest).forEach(w -> begun.put(w, begunRequests(w)));
        return Optional.of(new UsageRecord(medianWallMs(nowMs), spent, begun));
    }

    /** What the node can see to of a team's use: all that is counted, and its part of what came before. */
    private double used(long nowMs, TeamId team, Quota quota) {
        long from = nowMs - rules.quotaWindowMs();
        long knownTo = past.precedes(earliestStartMs()) ? Math.max(from, past.atMs()) : from;
        double unknown = quota.ratePerSecond() * Math.max(0, earliestStartMs() - knownTo) / 1_000;
        double unseen = Math.max(0, unknown - UNKNOWN_SPARE * spare(quota));
        return countedUnits(nowMs, team) + (before(nowMs, team, quota.burst()) + unseen) * part(nowMs);
    }

    /** Units of a team that the runs that are heard have counted in the window. */
    double countedUnits(long nowMs, TeamId team) {
        long window = rules.quotaWindowMs();
        double heard = hearing.maxSum(h -> h.report().spent().getOrDefault(team, 0L) * left(nowMs, h, window)
                + h.report().lately().getOrDefault(team, 0L) * since(nowMs, h));
        return own.spent(team, nowMs - window).total() + heard;
    }

    /** Units of a team that were spent before any of these runs, as far as they are written down. */
    private double before(long nowMs, TeamId team, double burst) {
        return past.precedes(earliestStartMs()) ? past.maxSpent(nowMs, team, rules.quotaWindowMs(), burst) : 0;
    }

    /** When the oldest run began of which something was heard, in milliseconds. */
    long earliestStartMs() {
        long[] first = {own.startedMs()};
        hearing.forEach(h -> first[0] = Math.min(first[0], h.atMs() - h.report().ageMs()));
        return first[0];
    }

    /** By how much a quota may be exceeded in a window. */
    private double spare(Quota quota) {
        return whole(quota) * rules.quotaOverage() + rules.quotaSlack();
    }

    private double whole(Quota quota) {
        return quota.ratePerSecond() * rules.quotaWindowMs() / 1_000 + quota.burst();
    }

    private double limit(long nowMs, Quota quota) {
        return (whole(quota) + USED_SPARE * spare(quota)) * part(nowMs);
    }

    /** For how long others have gone on spending, as far as can be told, since their report, in units of that time. */
    private static double since(long nowMs, PeerUsage.ReceivedReport other) {
        return Math.min(nowMs - other.atMs(), GROUPED_FRESH_MS) / (double) RECENT_MS;
    }

    /** How much of a report still lies in a window: what was counted in it leaves it evenly. */
    private static double left(long nowMs, PeerUsage.ReceivedReport other, long windowMs) {
        return Math.max(0, 1 - (double) (nowMs - other.atMs()) / windowMs);
    }

    /** The part of the limits that this node can see to: its own and that of the nodes it hears. */
    private double part(long nowMs) {
        return Math.min(1, (double) reportingNodes(nowMs) / Math.max(1, nodes));
    }

    /**
     * Returns the newest change of keys in the platform's service that another node has seen.
     *
     * @param prefix the beginning of the keys
     * @return the revision; 0 if none was heard of
     */
    public long newestPeerRevision(String prefix) {
        long[] newest = {0};
        hearing.forEach(h -> newest[0] = Math.max(newest[0], h.report().newest().getOrDefault(prefix, 0L)));
        return newest[0];
    }

    /**
     * Tells whether another node has been served by the platform's service all along, so that an outage that this node has
     * seen was its own.
     *
     * @param nowMs the time, in milliseconds
     * @return whether a node has said so lately
     */
    public boolean platformServesPeers(long nowMs) {
        return hearing.maxSum(h -> h.isFresh(nowMs, maxReportAgeMs())
                        ? h.report().newest().getOrDefault(ShareReport.SERVED, 0L)
                        : 0)
                > 0;
    }

    /**
     * Returns the rate at which callers send requests to a service, over all nodes.
     *
     * @param nowMs the time, in milliseconds
     * @param service the service
     * @return requests a second, on average over the window of the retry budget
     */
    public double requestsPerS(long nowMs, String service) {
        return asked(nowMs, service) * 1_000 / rules.retryWindowMs();
    }

    ShareReport.ServiceUse serviceUse(long nowMs, String service) {
        return new ShareReport.ServiceUse(Math.round(asked(nowMs, service)), Math.round(repeated(nowMs, service)));
    }

    private double asked(long nowMs, String service) {
        long here = own.requests(service, nowMs - rules.retryWindowMs()).total();
        return here + used(nowMs, service, ShareReport.ServiceUse::requests);
    }

    private double repeated(long nowMs, String service) {
        long here = own.repeats(service, nowMs - rules.retryWindowMs()).total();
        return here + used(nowMs, service, ShareReport.ServiceUse::repeats);
    }

    int reportingNodes(long nowMs) {
        return 1 + (int) hearing.maxSum(h -> h.isFresh(nowMs, maxReportAgeMs()) ? h.nodes() : 0);
    }

    long maxReportAgeMs() {
        return hearing.plan().isGrouped() ? GROUPED_FRESH_MS : MAX_REPORT_AGE_MS;
    }

    /** The middle one of the offsets that this node and the others see. */
    static long median(List<Long> offsets) {
        List<Long> sorted = offsets.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    ShareState with(ShareRules next) {
        return new ShareState(next, own, hearing, nodes, offsetMs, past);
    }

    ShareState with(LocalUsage next) {
        return new ShareState(rules, next, hearing, nodes, offsetMs, past);
    }

    ShareState with(PeerUsage next) {
        return new ShareState(rules, own, next, nodes, offsetMs, past);
    }

    ShareState withNodes(int next) {
        return new ShareState(rules, own, hearing, next, offsetMs, past);
    }

    ShareState withOffset(long next) {
        return new ShareState(rules, own, hearing, nodes, next, past);
    }

    ShareState with(PriorUsage next) {
        return new ShareState(rules, own, hearing, nodes, offsetMs, next);
    }
}
