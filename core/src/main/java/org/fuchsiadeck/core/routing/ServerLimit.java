package org.fuchsiadeck.core.routing;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * The rate of requests that a backend server accepts from all nodes together, and what this node may send to it. One node,
 * the limit's home, distributes the rate: it sends requests itself as long as its budget lasts, and grants sends to nodes that
 * ask. A node without a grant sends nothing, so that the rate holds however many nodes know the server.
 *
 * @param perSecond the requests per second
 * @param active whether the limit is in force; an ended one is kept so that older news does not bring it back
 * @param changedMs when the server last named the limit, or an answer without it was received, in milliseconds
 * @param budget what this node distributes as the home
 * @param grant what the home has granted to this node
 * @param dueMs when waiting requests are due to be reviewed, in milliseconds; a past time if they are not
 */
public record ServerLimit(double perSecond, boolean active, long changedMs, Budget budget, Grant grant, long dueMs) {
    /** Time for which a grant is valid, in milliseconds. */
    public static final long GRANT_MS = 500;

    /**
     * Time for which a new home distributes nothing, in milliseconds: the grants of its predecessor end, and nodes that
     * start together learn of each other.
     */
    public static final long TAKEOVER_MS = 1_500;

    /** Longest wait that is told to a node, in milliseconds; also the wait for a server that accepts nothing. */
    public static final long MAX_WAIT_MS = 30_000;

    /** The part of the requests of a second that may be sent at once. */
    private static final double BURST_S = 0.5;

    private static final double MS_PER_SECOND = 1_000;

    public ServerLimit {
        Checks.finiteNotNegative(perSecond, "perSecond");
        requireNonNull(budget, "budget");
        requireNonNull(grant, "grant");
    }

    /**
     * What the home of a limit may still send or grant.
     *
     * @param home whether this node is the home
     * @param share the part of the rate that this node distributes: that of the registered nodes that it reaches
     * @param tokens the requests that could be sent at {@code filledMs}
     * @param filledMs when the tokens were last counted, in milliseconds; in the future for a new home
     * @param promisedMs until when the rate is promised to nodes that were told to wait, in milliseconds
     */
    public record Budget(boolean home, double share, double tokens, long filledMs, long promisedMs) {
        static final Budget NONE = new Budget(false, 0, 0, 0, 0);
    }

    /**
     * What the home has granted to this node.
     *
     * @param count the requests that may still be sent
     * @param untilMs when the grant ends, in milliseconds
     * @param retryMs when the home may be asked again, in milliseconds
     */
    public record Grant(int count, long untilMs, long retryMs) {
        static final Grant NONE = new Grant(0, 0, 0);
    }

    /**
     * A home's answer to a node that asked for sends.
     *
     * @param next the limit afterwards
     * @param count the requests granted
     * @param waitMs when the node may ask again, in milliseconds from now
     */
    public record Granted(ServerLimit next, int count, long waitMs) {}

    static ServerLimit named(double perSecond, long namedMs) {
        return new ServerLimit(perSecond, true, namedMs, Budget.NONE, Grant.NONE, Long.MIN_VALUE);
    }

    /**
     * Returns whether this node may send a request to the server now.
     *
     * @param nowMs the time, in milliseconds
     * @return whether it may
     */
    public boolean allowsSend(long nowMs) {
        return !active || (budget.home() ? tokensAt(nowMs) >= 1 : grant.count() > 0 && nowMs < grant.untilMs());
    }

    /**
     * Returns when this node can send the next request at the earliest, as far as it knows.
     *
     * @param nowMs the time, in milliseconds
     * @return the time, in milliseconds; not in the future if a request may be sent or the home may be asked
     */
    public long nextMs(long nowMs) {
        if (allowsSend(nowMs)) {
            return nowMs;
        }
        return budget.home() ? tokenMs(nowMs, 1) : Math.max(nowMs, grant.retryMs());
    }

    ServerLimit withSend(long nowMs) {
        if (!active) {
            return this;
        }
        return budget.home()
                ? with(new Budget(true, budget.share(), tokensAt(nowMs) - 1, filledAt(nowMs), budget.promisedMs()))
                : with(new Grant(Math.max(0, grant.count() - 1), grant.untilMs(), grant.retryMs()));
    }

    /**
     * Returns this limit after the nodes have changed.
     *
     * @param home whether this node is the home now
     * @param share the part of the rate that the home distributes
     * @param nowMs the time, in milliseconds
     * @return the updated limit
     */
    public ServerLimit withRole(boolean home, double share, long nowMs) {
        if (!home) {
            return budget.home() ? with(Budget.NONE) : this;
        }
        if (!budget.home()) {
            return with(new Budget(true, share, 0, nowMs + TAKEOVER_MS, 0));
        }
        return share == budget.share()
                ? this
                : with(new Budget(true, share, tokensAt(nowMs), filledAt(nowMs), budget.promisedMs()));
    }

    /**
     * Grants sends to a node. Nodes that get none are told different times at which to ask again.
     *
     * @param wanted the requests that wait at the node
     * @param nowMs the time, in milliseconds
     * @return the grant
     */
    public Granted grant(int wanted, long nowMs) {
        double tokens = tokensAt(nowMs);
        int count = (int) Math.min(wanted, Math.floor(tokens));
        if (count > 0) {
            Budget next = new Budget(true, budget.share(), tokens - count, filledAt(nowMs), budget.promisedMs());
            return new Granted(with(next), count, 0);
        }
        long promised = Math.max(budget.promisedMs(), tokenMs(nowMs, 1));
        long waitMs = Math.min(MAX_WAIT_MS, promised - nowMs);
        long intervalMs = rate() > 0 ? (long) Math.min(MAX_WAIT_MS, MS_PER_SECOND / rate()) : MAX_WAIT_MS;
        long until = Math.min(promised + intervalMs, nowMs + MAX_WAIT_MS);
        return new Granted(
                with(new Budget(true, budget.share(), budget.tokens(), budget.filledMs(), until)), 0, waitMs);
    }

    /**
     * Returns this limit with the home's answer.
     *
     * @param count the requests granted
     * @param waitMs when the home may be asked again if none were granted, in milliseconds from now
     * @param nowMs the time, in milliseconds
     * @return the updated limit
     */
    public ServerLimit withGrant(int count, long waitMs, long nowMs) {
        return with(new Grant(count, nowMs + GRANT_MS, nowMs + waitMs));
    }

    /**
     * Returns this limit after the home was asked.
     *
     * @param retryMs when it may be asked again if it does not answer, in milliseconds
     * @return the updated limit
     */
    public ServerLimit withQuery(long retryMs) {
        return with(new Grant(0, 0, retryMs));
    }

    /**
     * Returns this limit with a review of the waiting requests.
     *
     * @param atMs when it is due, in milliseconds
     * @return the updated limit
     */
    public ServerLimit withDue(long atMs) {
        return new ServerLimit(perSecond, active, changedMs, budget, grant, atMs);
    }

    ServerLimit changed(double newPerSecond, boolean newActive, long atMs) {
        Budget counted = budget.home()
                ? new Budget(true, budget.share(), tokensAt(atMs), filledAt(atMs), budget.promisedMs())
                : budget;
        return new ServerLimit(newPerSecond, newActive, atMs, counted, grant, dueMs);
    }

    private ServerLimit with(Budget next) {
        return new ServerLimit(perSecond, active, changedMs, next, grant, dueMs);
    }

    private ServerLimit with(Grant next) {
        return new ServerLimit(perSecond, active, changedMs, budget, next, dueMs);
    }

    private double rate() {
        return perSecond * budget.share();
    }

    private double tokensAt(long nowMs) {
        double added = Math.max(0, nowMs - budget.filledMs()) / MS_PER_SECOND * rate();
        return Math.min(Math.max(1, rate() * BURST_S), budget.tokens() + added);
    }

    private long filledAt(long nowMs) {
        return Math.max(nowMs, budget.filledMs());
    }

    /** Returns when the given number of tokens is there, in milliseconds. */
    private long tokenMs(long nowMs, double wanted) {
        double missing = wanted - tokensAt(nowMs);
        if (missing <= 0) {
            return nowMs;
        }
        double waitMs = rate() > 0 ? Math.ceil(missing / rate() * MS_PER_SECOND) : MAX_WAIT_MS;
        return filledAt(nowMs) + (long) Math.min(MAX_WAIT_MS, waitMs);
    }
}
