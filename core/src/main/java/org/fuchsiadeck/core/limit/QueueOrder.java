package org.fuchsiadeck.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeSet;

import org.fuchsiadeck.core.model.TeamId;

/**
 * The order in which the queued requests of a service are dispatched under shared scheduling. Addresses scarce capacity:
 * streaming requests of priorities 2, 1 and 0 that may wait 400, 500 and 1,500 ms, from 16 teams of which one sends 7.5
 * times its usual load in bursts of 3 to 6 s. The order is, from the most to the least significant criterion:
 *
 * <ol>
 *   <li>requests that were dispatched before, as work already done would be lost;
 *   <li>requests of a priority that was served far less often than the others at this node;
 *   <li>the priority, raised by one for each target latency that a request has waited. To pass a more urgent priority that
 *       is not served much more often, it waits four times as long;
 *   <li>teams and large sizes that were served far less often than others, then teams within their share over all
 *       nodes, then teams above it;
 *   <li>start-time fair queueing between the teams at this node;
 *   <li>within a team, requests that can meet their target latency, then those that can meet their deadline.
 * </ol>
 *
 * @param history the recent outcomes of queued requests
 * @param shares the teams above their share over all nodes
 * @param nowMs the time, in milliseconds
 * @param retryPriority the priority from which on requests precede all others
 */
public record QueueOrder(QueueHistory history, TeamShares shares, long nowMs, int retryPriority) {
    /** The rank of requests of a neglected class. Exceeds every priority that can be reached by waiting. */
    private static final int NEGLECTED_RANK = Integer.MAX_VALUE - 1;

    /** Standing of a request whose team or size was served far less often than others. */
    private static final int NEGLECTED = 0;

    private static final int WITHIN_SHARE = 1;
    private static final int OVER_SHARE = 2;

    /** Fraction of a more urgent priority's ratio up to which a priority passes it by waiting. */
    private static final double PASSING_FRACTION = 0.4;

    /**
     * Steps per priority after which a request passes a more urgent priority in any case. Below four, requests that are
     * past their target pass urgent ones that would be on time.
     */
    private static final int LONG_WAIT_FACTOR = 4;

    private static final Comparator<Ranked> ORDER = Comparator.comparingInt((Ranked r) -> -r.rank)
            .thenComparingInt(r -> -r.ticket.priority())
            .thenComparingInt(Ranked::standing)
            .thenComparingDouble(r -> r.ticket.start())
            .thenComparingLong(r -> r.ticket.sequence());

    private static final Comparator<Ranked> WITHIN_TEAM = Comparator.comparingInt(Ranked::lateness)
            .thenComparingLong(r -> r.ticket.terms().targetMs())
            .thenComparingLong(r -> r.ticket.sequence());

    private record Ranked(Ticket ticket, int rank, int standing, int lateness) {
        Group group() {
            return new Group(rank, ticket.priority(), standing, ticket.team());
        }
    }

    private record Group(int rank, int priority, int standing, TeamId team) {}

    /**
     * Sorts queued requests into the order of their dispatch.
     *
     * @param tickets the tickets of the requests
     * @return the tickets, the next one first
     */
    public List<Ticket> sort(Iterable<Ticket> tickets) {
        TreeSet<Integer> priorities = new TreeSet<>();
        tickets.forEach(t -> priorities.add(t.priority()));
        QueueHistory.Neglected neglected = history.neglected(nowMs);
        List<Ranked> slots = new ArrayList<>();
        for (Ticket ticket : tickets) {
            int lateness = ticket.terms().isShared() ? ticket.terms().lateness(nowMs, 0) : 0;
            boolean shared = ticket.terms().isShared() && ticket.priority() < retryPriority;
            boolean first = shared && neglected.kinds().contains(ticket.priority());
            int rank = first ? NEGLECTED_RANK : rank(ticket, priorities);
            int standing = shared ? standing(ticket, neglected) : WITHIN_SHARE;
            slots.add(new Ranked(ticket, rank, standing, lateness));
        }
        slots.sort(ORDER);
        // Each team keeps the slots that fair queueing gives it, and fills them by lateness.
        Map<Group, Queue<Ranked>> byTeam = new HashMap<>();
        slots.stream()
                .sorted(WITHIN_TEAM)
                .forEach(r -> byTeam.computeIfAbsent(r.group(), g -> new ArrayDeque<>())
                        .add(r));
        return slots.stream().map(r -> byTeam.get(r.group()).remove().ticket()).toList();
    }

    /**
     * Counts the queued requests that are ahead of a ticket.
     *
     * @param queue the queue
     * @param ticket a ticket that is not in the queue
     * @return the number of requests
     */
    public int countAhead(FairQueue queue, Ticket ticket) {
        return sort(queue.tickets().add(ticket)).indexOf(ticket);
    }

    /**
     * Returns the latest time for the first token of a request: its deadline, or earlier if its priority yields to a
     * more urgent one, see {@link QueueHistory#yieldingWaitMs}.
     *
     * @param ticket the ticket of the request
     * @return the time, in milliseconds
     */
    public long latestMs(Ticket ticket) {
        QueueTerms terms = ticket.terms();
        if (!terms.isShared()) {
            return terms.deadlineMs();
        }
        long limit = terms.deadlineMs() - terms.arrivedMs();
        return terms.arrivedMs() + Math.min(limit, history.yieldingWaitMs(ticket.priority(), nowMs));
    }

    /**
     * Returns whether a request can't have its first token in time any more, even if it is dispatched now.
     *
     * @param ticket the ticket of the request
     * @return whether it is too late
     */
    public boolean isTooLate(Ticket ticket) {
        return ticket.terms().isShared() && nowMs + ticket.terms().firstTokenMs() > latestMs(ticket);
    }

    private int standing(Ticket ticket, QueueHistory.Neglected neglected) {
        boolean largest = neglected.largest().contains(ticket.priority()) && history.isLarge(ticket);
        if (largest || neglected.teams().contains(ticket.team())) {
            return NEGLECTED;
        }
        return shares.isOver(ticket.team()) ? OVER_SHARE : WITHIN_SHARE;
    }

    private int rank(Ticket ticket, TreeSet<Integer> priorities) {
        if (ticket.priority() >= retryPriority) {
            return Integer.MAX_VALUE;
        }
        int steps = ticket.terms().agedSteps(nowMs);
        int aged = ticket.priority() + steps;
        for (int higher : priorities.tailSet(ticket.priority(), false)) {
            boolean waitedLong = steps >= LONG_WAIT_FACTOR * (higher - ticket.priority());
            if (higher <= aged && higher < retryPriority && !waitedLong && isServedAsOften(ticket, higher)) {
                return higher - 1;
            }
        }
        return aged;
    }

    private boolean isServedAsOften(Ticket ticket, int higher) {
        return history.isKnown(ticket.priority(), nowMs)
                && history.ratio(ticket.priority()) > PASSING_FRACTION * history.ratio(higher);
    }
}
