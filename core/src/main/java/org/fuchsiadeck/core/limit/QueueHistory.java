package org.fuchsiadeck.core.limit;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.TeamId;

/**
 * The recent outcomes of the requests that had to queue for a service at this node: how often each priority, each team
 * and the largest requests of each priority were dispatched rather than refused, and when refused callers return.
 *
 * @param kinds decayed counts of outcomes, by priority
 * @param largest the same for the largest tenth of each priority
 * @param teams the same by team
 * @param largeSizes estimates of the size that a tenth of the requests exceed, by priority
 * @param limits the time from arrival to deadline of the last arrived request, by priority, in milliseconds
 * @param returns the time at which the last refused caller returns, by priority, in milliseconds
 */
public record QueueHistory(
        Map<Integer, Outcomes> kinds,
        Map<Integer, Outcomes> largest,
        Map<TeamId, Outcomes> teams,
        Map<Integer, Double> largeSizes,
        Map<Integer, Long> limits,
        Map<Integer, Long> returns) {
    /** A history without outcomes. */
    public static final QueueHistory NONE = new QueueHistory(
            HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty());

    /** Time constant of the decay of counts, in milliseconds: bursts last 3 to 6 s. */
    private static final double DECAY_MS = 4_000;

    /** Outcomes, after decay, without which a class is not compared with others. */
    private static final double MIN_OUTCOMES = 3;

    /**
     * Fraction of the best served class's ratio below which a class goes first. The requirement is a quarter over all
     * nodes; each node knows its own outcomes only, and these lag behind by the wait.
     */
    private static final double LEAST_OF_BEST = 0.35;

    /** The same for the largest tenth of a priority, compared with the priority; the requirement is one half. */
    private static final double LEAST_OF_KIND = 0.7;

    /** Ratio of a priority above which less urgent ones need not yield to it: some requests are refused in any case. */
    private static final double SUFFICIENT_RATIO = 0.9;

    /** Time that a yielding priority waits, as a fraction of the time that callers of the other priority wait. */
    private static final double YIELDING_WAIT_FRACTION = 0.5;

    /** Relative changes of the estimated size per request, which balance if a tenth of the requests exceed it. */
    private static final double SIZE_RISE = 1.09;

    private static final double SIZE_FALL = 0.99;

    /** Longest time over which refused callers are spread, in milliseconds. */
    private static final long MAX_SPREAD_MS = 10_000;

    /**
     * Decayed counts of outcomes.
     *
     * @param served dispatched requests
     * @param lost requests refused without a dispatch
     * @param atMs the time of the last outcome, in milliseconds
     */
    public record Outcomes(double served, double lost, long atMs) {
        static final Outcomes NONE = new Outcomes(0, 0, 0);

        Outcomes plus(boolean dispatched, long nowMs) {
            double rest = rest(nowMs);
            return new Outcomes(served * rest + (dispatched ? 1 : 0), lost * rest + (dispatched ? 0 : 1), nowMs);
        }

        boolean suffices(long nowMs) {
            return (served + lost) * rest(nowMs) >= MIN_OUTCOMES;
        }

        private double rest(long nowMs) {
            return Math.exp(-Math.max(0, nowMs - atMs) / DECAY_MS);
        }

        double ratio() {
            return served + lost > 0 ? served / (served + lost) : 1;
        }
    }

    /**
     * Returns the history after the outcome of a request that was queued or refused on arrival.
     *
     * @param ticket the ticket of the request
     * @param dispatched whether it was dispatched; otherwise it was refused
     * @param nowMs the time, in milliseconds
     * @return the updated history; this one if the request is not subject to shared scheduling
     */
    public QueueHistory withOutcome(Ticket ticket, boolean dispatched, long nowMs) {
        if (!ticket.terms().isShared()) {
            return this;
        }
        return new QueueHistory(
                add(kinds, ticket.priority(), dispatched, nowMs),
                isLarge(ticket) ? add(largest, ticket.priority(), dispatched, nowMs) : largest,
                add(teams, ticket.team(), dispatched, nowMs),
                largeSizes,
                limits,
                returns);
    }

    /**
     * Returns the history with the size and the time limit of an arriving request.
     *
     * @param ticket the ticket of the request
     * @return the updated history
     */
    public QueueHistory withArrival(Ticket ticket) {
        double size = ticket.terms().size();
        double old = largeSizes.getOrElse(ticket.priority(), size);
        double next = size > old ? old * SIZE_RISE : old * SIZE_FALL;
        return new QueueHistory(
                kinds,
                largest,
                teams,
                largeSizes.put(ticket.priority(), next),
                limits.put(
                        ticket.priority(),
                        ticket.terms().deadlineMs() - ticket.terms().arrivedMs()),
                returns);
    }

    /**
     * Returns the history with the return of a refused caller. Callers of a priority return one after the other, at the
     * rate at which requests are dispatched; if that spreads them too far, the next one returns at the earliest time
     * again.
     *
     * @param priority the priority of the request
     * @param earliestMs the time at which the queue is predicted to have drained down to the request's rank, in
     *     milliseconds
     * @param intervalMs the predicted time between two dispatches, in milliseconds
     * @return the updated history, whose {@link #returnMs} is the time at which the caller returns
     */
    public QueueHistory withReturn(int priority, long earliestMs, long intervalMs) {
        Option<Long> last = returns.get(priority);
        long nextMs = last.map(l -> l + Math.max(1, intervalMs)).getOrElse(earliestMs);
        boolean spreads = nextMs >= earliestMs && nextMs - earliestMs <= MAX_SPREAD_MS;
        return new QueueHistory(
                kinds, largest, teams, largeSizes, limits, returns.put(priority, spreads ? nextMs : earliestMs));
    }

    /**
     * Returns when the last refused caller of a priority returns.
     *
     * @param priority the priority of the request
     * @return the time, in milliseconds; 0 if none was refused
     */
    public long returnMs(int priority) {
        return returns.getOrElse(priority, 0L);
    }

    /**
     * The classes that were served so much less often than others that their requests go first.
     *
     * @param kinds priorities, compared with the best served one
     * @param largest priorities whose largest tenth is behind, compared with all requests of the priority
     * @param teams teams, compared with the best served one
     */
    public record Neglected(Set<Integer> kinds, Set<Integer> largest, Set<TeamId> teams) {}

    /**
     * Returns the classes that were served far less often than others.
     *
     * @param nowMs the time, in milliseconds
     * @return the classes
     */
    public Neglected neglected(long nowMs) {
        Set<Integer> large = largest.filter((p, o) -> o.suffices(nowMs) && o.ratio() < LEAST_OF_KIND * ratio(p))
                .keySet();
        return new Neglected(neglected(kinds, nowMs), large, neglected(teams, nowMs));
    }

    private static <K> Set<K> neglected(Map<K, Outcomes> all, long nowMs) {
        Map<K, Outcomes> known = all.filterValues(o -> o.suffices(nowMs));
        double best = known.values().map(Outcomes::ratio).max().getOrElse(0.0);
        return known.filterValues(o -> o.ratio() < LEAST_OF_BEST * best).keySet();
    }

    /**
     * Returns how long requests of a priority may wait for their first token because a more urgent priority is refused
     * although it is served no more often. A less urgent priority whose callers wait longer would otherwise be served
     * more often wherever no urgent request is queued at the same node.
     *
     * @param priority the priority
     * @param nowMs the time, in milliseconds
     * @return the time from arrival, in milliseconds; {@link Long#MAX_VALUE} if there is no such priority
     */
    public long yieldingWaitMs(int priority, long nowMs) {
        double own = ratio(priority);
        long least = Long.MAX_VALUE;
        for (var kind : kinds) {
            Outcomes other = kind._2;
            boolean refused = kind._1 > priority && other.suffices(nowMs) && other.ratio() < SUFFICIENT_RATIO;
            if (refused && own > other.ratio()) {
                least = Math.min(least, Math.round(limits.getOrElse(kind._1, least) * YIELDING_WAIT_FRACTION));
            }
        }
        return least;
    }

    /**
     * Predicts how long a queued request waits: from the rate of recent dispatches, or from the
     * attempts in progress if these predict less. A node of many has few attempts in progress, whose number at one time
     * says little about the rate; a request must not be refused for that.
     *
     * @param load the attempts in progress
     * @param ahead the number of queued requests ahead of it
     * @param nowMs the time, in milliseconds
     * @return the predicted wait, in milliseconds
     */
    public long predictedWaitMs(ServiceLoad load, int ahead, long nowMs) {
        double dispatched =
                kinds.values().map(o -> o.served() * o.rest(nowMs)).sum().doubleValue();
        double byRate = (ahead + 1) * DECAY_MS / Math.max(dispatched, 1 / DECAY_MS);
        return Math.min(load.predictedWaitMs(ahead), Math.round(byRate));
    }

    /**
     * Returns how often requests of a priority were dispatched.
     *
     * @param priority the priority
     * @return the fraction of the outcomes; 1 if there are none
     */
    public double ratio(int priority) {
        return kinds.getOrElse(priority, Outcomes.NONE).ratio();
    }

    /**
     * Returns whether a priority has enough recent outcomes for a comparison with others.
     *
     * @param priority the priority
     * @param nowMs the time, in milliseconds
     * @return whether its ratio is meaningful
     */
    public boolean isKnown(int priority, long nowMs) {
        return kinds.get(priority).exists(o -> o.suffices(nowMs));
    }

    /**
     * Returns whether nothing is recorded.
     *
     * @return whether the history is empty
     */
    public boolean isEmpty() {
        return equals(NONE);
    }

    /**
     * Returns whether a request is among the largest tenth of its priority.
     *
     * @param ticket the ticket of the request
     * @return whether its size exceeds the estimate
     */
    public boolean isLarge(Ticket ticket) {
        return largeSizes.get(ticket.priority()).exists(s -> ticket.terms().size() > s);
    }

    private static <K> Map<K, Outcomes> add(Map<K, Outcomes> all, K key, boolean dispatched, long nowMs) {
        return all.put(key, all.getOrElse(key, Outcomes.NONE).plus(dispatched, nowMs));
    }
}
