package org.fuchsiadeck.core.share;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
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
 * @param heard the last report of each run of each other node
 * @param nodes how many entry nodes are registered, this one included
 * @param offsetMs the time of day less this node's monotonic clock, as most nodes see it, in milliseconds
 * @param past what was spent before any of these runs
 */
public record ShareState(ShareRules rules, OwnUse own, Map<Run, Heard> heard, int nodes, long offsetMs, Past past) {
    /** Part of what a quota may be exceeded by that is given out; the rest is for nodes that decide at the same time. */
    private static final double USED_SPARE = 0.4;

    /** Part of it that makes up for the time before a node's history, of which only the most is known. */
    private static final double UNKNOWN_SPARE = 0.3;

    /** Part of the slack that is used: nodes decide at the same time, on reports that lag behind. */
    private static final double SAFE_SLACK = 0.5;

    /** Usage windows that are written down: those whose report may still be due. */
    private static final int KEPT_WINDOWS = 4;

    /** A report older than this says nothing of the present: a few times the time between reports. */
    static final long FRESH_MS = 1_500;

    public ShareState {
        requireNonNull(rules, "rules");
        requireNonNull(own, "own");
        requireNonNull(heard, "heard");
        requireNonNull(past, "past");
    }

    /**
     * One run of a node's process.
     *
     * @param node the node
     * @param startedWallMs its time of day when the process started
     */
    public record Run(NodeId node, long startedWallMs) {}

    /**
     * A report and when it came.
     *
     * @param report the report
     * @param atMs when it came, in milliseconds
     */
    public record Heard(ShareReport report, long atMs) {
        public Heard {
            requireNonNull(report, "report");
        }

        boolean fresh(long nowMs) {
            return nowMs - atMs < FRESH_MS;
        }
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param rules the limits
     * @return the state
     */
    public static ShareState initial(ShareRules rules) {
        return new ShareState(rules, OwnUse.NONE, HashMap.empty(), 1, 0, Past.UNREAD);
    }

    /**
     * What a team has spent and may spend, as far as this node can see to it.
     *
     * @param used units in the quota window
     * @param limit units that may be spent in it
     * @param heard nodes that this one hears, itself included
     */
    public record Room(double used, double limit, int heard) {
        /**
         * Tells by how much a request would exceed the limit.
         *
         * @param units what the request counts for
         * @return units; 0 if it fits
         */
        public double over(long units) {
            return Math.max(0, used + units - limit);
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
    public Room room(long nowMs, TeamId team, Quota quota) {
        return new Room(used(nowMs, team, quota), limit(nowMs, quota), hearing(nowMs));
    }

    /**
     * Tells whether a service may get one more repeated attempt.
     *
     * @param nowMs the time, in milliseconds
     * @param service the service
     * @return whether all nodes together stay within the budget
     */
    public boolean allowsRepeat(long nowMs, String service) {
        long from = nowMs - rules.retryWindowMs();
        double asked = own.requests(service, from).total();
        double repeated = own.repeats(service, from).total();
        for (Heard other : heard.values()) {
            ShareReport.ServiceUse use = other.report().services().get(service);
            double left = left(nowMs, other, rules.retryWindowMs());
            if (use != null) {
                asked += use.requests() * left;
                repeated += use.repeats() * left;
            }
        }
        return repeated + 1 <= asked * rules.retryRatio() + rules.retrySlack() * SAFE_SLACK * part(nowMs);
    }

    /**
     * Returns attempts that the other nodes have in progress at a server.
     *
     * @param nowMs the time, in milliseconds
     * @param server the server
     * @return the number, as last said
     */
    public int inFlightElsewhere(long nowMs, BackendId server) {
        int sum = 0;
        for (Heard other : heard.values()) {
            sum += other.fresh(nowMs) ? other.report().inFlight().getOrDefault(server, 0) : 0;
        }
        return sum;
    }

    /**
     * Returns the time of day as most nodes see it, so that a step of this node's own clock has no effect.
     *
     * @param nowMs the time, in milliseconds
     * @return milliseconds since 1970
     */
    public long trueWallMs(long nowMs) {
        return nowMs + offsetMs;
    }

    /**
     * Tells whether every other node that is registered was heard lately.
     *
     * @param nowMs the time, in milliseconds
     * @return whether nobody is missing
     */
    public boolean hearsAll(long nowMs) {
        return hearing(nowMs) >= nodes;
    }

    /**
     * Returns the requests that servers began in a usage window, over all nodes.
     *
     * @param window the window's number
     * @return the counts by team
     */
    public java.util.Map<TeamId, Long> begunIn(long window) {
        java.util.Map<TeamId, Long> all = new java.util.TreeMap<>();
        own.begun().get(window).forEach(m -> m.forEach((t, n) -> all.merge(t, n, Long::sum)));
        if (past.precedes(firstMs())) {
            past.begun(window).forEach((t, n) -> all.merge(t, n, Long::sum));
        }
        for (Heard other : heard.values()) {
            other.report()
                    .begun()
                    .getOrDefault(window, java.util.Map.of())
                    .forEach((t, n) -> all.merge(t, n, Long::sum));
        }
        return all;
    }

    /**
     * Returns what is to be written down, so that it outlasts this run.
     *
     * @param nowMs the time, in milliseconds
     * @return the use of all nodes; empty while part of it is not known
     */
    public Optional<UseRecord> record(long nowMs) {
        boolean whole = past.precedes(firstMs()) || firstMs() <= nowMs - rules.quotaWindowMs();
        if (!whole || !hearsAll(nowMs)) {
            return Optional.empty();
        }
        Set<TeamId> teams = new TreeSet<>(own.spent().keySet().toJavaSet());
        Set<Long> windows = new TreeSet<>(own.begun().keySet().toJavaSet());
        heard.values().forEach(h -> {
            teams.addAll(h.report().spent().keySet());
            windows.addAll(h.report().begun().keySet());
        });
        past.record().ifPresent(r -> {
            teams.addAll(r.spent().keySet());
            windows.addAll(r.begun().keySet());
        });
        java.util.Map<TeamId, Long> spent = new java.util.TreeMap<>();
        teams.forEach(t -> spent.put(t, Math.round(counted(nowMs, t) + before(nowMs, t, 0))));
        java.util.Map<Long, java.util.Map<TeamId, Long>> begun = new java.util.TreeMap<>();
        long oldest = Math.floorDiv(trueWallMs(nowMs), rules.usageWindowMs()) - KEPT_WINDOWS;
        windows.stream().filter(w -> w >= oldest).forEach(w -> begun.put(w, begunIn(w)));
        return Optional.of(new UseRecord(trueWallMs(nowMs), spent, begun));
    }

    /** What the node can see to of a team's use: all that is counted, and its part of what came before. */
    private double used(long nowMs, TeamId team, Quota quota) {
        long from = nowMs - rules.quotaWindowMs();
        long knownTo = past.precedes(firstMs()) ? Math.max(from, past.atMs()) : from;
        double unknown = quota.ratePerSecond() * Math.max(0, firstMs() - knownTo) / 1_000;
        double unseen = Math.max(0, unknown - UNKNOWN_SPARE * spare(quota));
        return counted(nowMs, team) + (before(nowMs, team, quota.burst()) + unseen) * part(nowMs);
    }

    /** Units of a team that the runs that are heard have counted in the window. */
    private double counted(long nowMs, TeamId team) {
        long window = rules.quotaWindowMs();
        double counted = own.spent(team, nowMs - window).total();
        for (Heard other : heard.values()) {
            counted += other.report().spent().getOrDefault(team, 0L) * left(nowMs, other, window);
        }
        return counted;
    }

    /** Units of a team that were spent before any of these runs, as far as they are written down. */
    private double before(long nowMs, TeamId team, double burst) {
        return past.precedes(firstMs()) ? past.spent(nowMs, team, rules.quotaWindowMs(), burst) : 0;
    }

    /** When the oldest run began of which something was heard, in milliseconds. */
    private long firstMs() {
        long first = own.startedMs();
        for (Heard other : heard.values()) {
            first = Math.min(first, other.atMs() - other.report().ageMs());
        }
        return first;
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

    /** How much of a report still lies in a window: what was counted in it leaves it evenly. */
    private static double left(long nowMs, Heard other, long windowMs) {
        return Math.max(0, 1 - (double) (nowMs - other.atMs()) / windowMs);
    }

    /** The part of the limits that this node can see to: its own and that of the nodes it hears. */
    private double part(long nowMs) {
        return Math.min(1, (double) hearing(nowMs) / Math.max(1, nodes));
    }

    private int hearing(long nowMs) {
        return 1 + heard.values().count(h -> h.fresh(nowMs));
    }

    /** The middle one of the offsets that this node and the others see. */
    static long median(List<Long> offsets) {
        List<Long> sorted = offsets.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    ShareState with(ShareRules next) {
        return new ShareState(next, own, heard, nodes, offsetMs, past);
    }

    ShareState with(OwnUse next) {
        return new ShareState(rules, next, heard, nodes, offsetMs, past);
    }

    ShareState with(Map<Run, Heard> next) {
        return new ShareState(rules, own, next, nodes, offsetMs, past);
    }

    ShareState withNodes(int next) {
        return new ShareState(rules, own, heard, next, offsetMs, past);
    }

    ShareState withOffset(long next) {
        return new ShareState(rules, own, heard, nodes, next, past);
    }

    ShareState with(Past next) {
        return new ShareState(rules, own, heard, nodes, offsetMs, next);
    }
}
