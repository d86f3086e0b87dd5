package org.fuchsiadeck.core.limit;

import static java.util.Objects.requireNonNull;

/**
 * The slots of a pool of servers that all entry nodes share, as one node sees them: whether the pool is full over all
 * nodes, and at which rate this node then releases its queued requests.
 *
 * <p>Intended for scarce capacity: many nodes with a few attempts each, streams of 0.3 to 2 s, and reports that are 0.5 to
 * 2 s old. The count of one server is too old to decide by; the count of the whole pool changes slowly enough. Growth at
 * the other nodes since their reports is estimated from this node's own.
 *
 * @param seen the figures of the last observation
 * @param atMs the time of the last observation, in milliseconds; {@link Long#MIN_VALUE} before the first
 * @param lagged this node's own figures at about the time of the other nodes' reports
 * @param credit the releases that are due; at most one, or those of {@link #BURST_MS}
 * @param fullSinceMs when the pool became full, in milliseconds; {@link Long#MAX_VALUE} if it is not
 * @param releases the requests sent while the pool was full
 */
public record SharedCapacity(Seen seen, long atMs, Lagged lagged, double credit, long fullSinceMs, long releases) {
    /** A pool that has not been observed. */
    public static final SharedCapacity NONE =
            new SharedCapacity(Seen.NONE, Long.MIN_VALUE, new Lagged(0, 0), 0, Long.MAX_VALUE, 0);

    /**
     * Mean age of the other nodes' figures in a large fleet, in milliseconds: half an interval of 500 ms each for the report,
     * the sum of the group and the total.
     */
    public static final long REPORT_AGE_MS = 750;

    /** The longest time until all nodes know each other's queues, in milliseconds: an interval each for the same three. */
    private static final long SETTLE_MS = 1_500;

    /** The time whose releases may be sent at once, in milliseconds; longer than a late timer. */
    private static final long BURST_MS = 50;

    /** The longest time between two reviews of a queue, in milliseconds, so that free capacity is found. */
    private static final long MAX_REVIEW_MS = 100;

    /** The least share of a node's releases, relative to an equal share: the others' queues may have emptied since. */
    private static final double LEAST_SHARE = 0.25;

    /** Growth of this node's own attempts within as many standard deviations is taken for chance. */
    private static final double CHANCE_DEVIATIONS = 2;

    /** The least release rate of a pool that holds more than its room, relative to its completion rate. */
    private static final double LEAST_RATE = 0.5;

    public SharedCapacity {
        requireNonNull(seen, "seen");
        requireNonNull(lagged, "lagged");
    }

    /**
     * This node's own figures, averaged over about the age of a report: only these can be compared with the other nodes'.
     *
     * @param own the attempts in progress
     * @param waiting the queued requests
     */
    public record Lagged(double own, double waiting) {
        Lagged averaged(Seen next, double weight) {
            return new Lagged(own + (next.own() - own) * weight, waiting + (next.waitingHere() - waiting) * weight);
        }
    }

    /**
     * The figures of a pool.
     *
     * @param slots the requests that its servers process at a time
     * @param room the attempts that keep all slots busy, although they are spread unevenly; see {@link #room(int)}
     * @param own this node's attempts in progress
     * @param elsewhere the other nodes' attempts in progress, by recent reports
     * @param waitingHere the requests queued at this node
     * @param waitingElsewhere the requests queued at other nodes, by recent reports
     * @param nodes the number of entry nodes; 1 if no other has reported recently
     * @param meanMs the mean duration of an attempt, in milliseconds; 0 if unknown
     */
    public record Seen(
            int slots,
            double room,
            int own,
            int elsewhere,
            int waitingHere,
            int waitingElsewhere,
            int nodes,
            double meanMs) {
        /** No figures. */
        public static final Seen NONE = new Seen(0, 0, 0, 0, 0, 0, 1, 0);

        int inFlight() {
            return own + elsewhere;
        }

        int waiting() {
            return waitingHere + waitingElsewhere;
        }
    }

    /**
     * Returns the attempts that a server may have while requests are queued at the nodes. The attempts of independent nodes
     * deviate from their mean by about its root; without that many more, some slots stay idle.
     *
     * @param slots the requests that the server processes at a time
     * @return the number of attempts
     */
    public static double room(int slots) {
        return slots + Math.sqrt(slots);
    }

    /**
     * Returns this pool with new figures. Releases that became due since the last observation are added.
     *
     * @param nowMs the time, in milliseconds
     * @param next the figures
     * @return the updated pool
     */
    public SharedCapacity observed(long nowMs, Seen next) {
        boolean first = atMs == Long.MIN_VALUE;
        double passedMs = first ? 0 : nowMs - atMs;
        double weight = first ? 1 : -Math.expm1(-passedMs / REPORT_AGE_MS);
        Lagged then = lagged.averaged(next, weight);
        SharedCapacity open = new SharedCapacity(next, nowMs, then, Math.min(1, credit), Long.MAX_VALUE, releases);
        if (!open.exceedsRoom()) {
            return open;
        }
        long since = Math.min(nowMs, fullSinceMs);
        SharedCapacity full = new SharedCapacity(next, nowMs, then, credit, since, releases);
        double perMs = full.releasesPerMs(then.waiting());
        return full.withCredit(Math.min(Math.max(1, perMs * BURST_MS), credit + perMs * passedMs));
    }

    private SharedCapacity withCredit(double next) {
        return new SharedCapacity(seen, atMs, lagged, next, fullSinceMs, releases);
    }

    /**
     * Returns whether the pool is full over all nodes: by the counts alone all slots are in use, and with what was
     * probably sent since, and what waits, there is no room left. A pool of which other nodes have not reported
     * recently, or whose completion rate is unknown, is never full.
     *
     * @return whether new requests wait
     */
    public boolean isFull() {
        return fullSinceMs != Long.MAX_VALUE;
    }

    /**
     * Returns whether a request may be sent now.
     *
     * @return whether the pool is not full or a release is due
     */
    public boolean allowsRelease() {
        return !isFull() || credit >= 1;
    }

    /**
     * Returns this pool after a request was sent.
     *
     * @return the updated pool
     */
    public SharedCapacity withDispatch() {
        return isFull()
                ? new SharedCapacity(seen, atMs, lagged, Math.max(-1, credit - 1), fullSinceMs, releases + 1)
                : this;
    }

    /**
     * Returns when the queue should be reviewed.
     *
     * @return the time until the next release is due, in milliseconds, from 1 to {@link #MAX_REVIEW_MS}
     */
    public long reviewInMs() {
        if (!isFull()) {
            return MAX_REVIEW_MS;
        }
        double ms = Math.ceil((1 - credit) / releasesPerMs(lagged.waiting()));
        return (long) Math.max(1, Math.min(MAX_REVIEW_MS, ms));
    }

    /**
     * Predicts how long a request waits if the pool stays full.
     *
     * @param ahead the number of this node's queued requests ahead of it
     * @return the predicted wait, in milliseconds
     */
    public long predictedWaitMs(int ahead) {
        return (long) Math.max(0, (ahead + 1 - credit) / releasesPerMs(ahead + 1));
    }

    /**
     * Returns the attempts in use per slot, including what the other nodes probably sent since their reports.
     *
     * @return the share of the slots, above 1 if requests are queued in the servers; 0 if the pool is unknown
     */
    public double inUse() {
        return seen.slots() == 0 ? 0 : estimate() / seen.slots();
    }

    private boolean exceedsRoom() {
        return seen.nodes() > 1
                && seen.meanMs() > 0
                && seen.slots() > 0
                && seen.inFlight() >= seen.slots()
                && estimate() + seen.waiting() >= seen.room();
    }

    private double estimate() {
        double chance = CHANCE_DEVIATIONS * Math.sqrt(lagged.own() + 1);
        return seen.inFlight() + (seen.nodes() - 1) * Math.max(0, seen.own() - lagged.own() - chance);
    }

    /**
     * Returns this node's share of the pool's releases. By Little's law, the pool completes its attempts in progress once
     * per mean duration; room that is free is filled within the age of a report.
     */
    private double releasesPerMs(double waitingHere) {
        double attempts = Math.max(1, estimate());
        double excess = Math.max(LEAST_RATE, Math.min(1, seen.room() / attempts));
        double perMs = excess * seen.room() / seen.meanMs() + Math.max(0, seen.room() - attempts) / REPORT_AGE_MS;
        return perMs * share(waitingHere);
    }

    /**
     * Returns this node's share: that of the queued requests, once the nodes know each other's queues; until then the mean
     * of an equal share and of its share of the attempts in progress, which add up to 1 over the nodes.
     */
    private double share(double waitingHere) {
        double equal = 1.0 / seen.nodes();
        if (atMs - fullSinceMs < SETTLE_MS) {
            return (equal + seen.own() / (double) Math.max(1, seen.inFlight())) / 2;
        }
        double waiting = Math.max(waitingHere, Double.MIN_NORMAL);
        return Math.max(LEAST_SHARE * equal, waiting / (waiting + seen.waitingElsewhere()));
    }
}
