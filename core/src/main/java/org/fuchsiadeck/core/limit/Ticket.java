package org.fuchsiadeck.core.limit;

import java.util.Comparator;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;

/**
 * The position of a request in a {@link FairQueue}. Tickets are ordered by descending priority, then by virtual start
 * time, then by sequence number. The first ticket in this order is dispatched first.
 *
 * @param priority the priority; greater values are dispatched first
 * @param start virtual start time
 * @param span virtual duration: the cost of the request divided by the weight of its team
 * @param sequence number of requests added to the queue before it
 * @param id the request
 * @param team the team that the request is charged to
 * @param terms the times that matter under shared scheduling; {@link QueueTerms#NONE} without it
 */
public record Ticket(
        int priority, double start, double span, long sequence, RequestId id, TeamId team, QueueTerms terms)
        implements Comparable<Ticket> {
    private static final Comparator<Ticket> ORDER = Comparator.comparingInt((Ticket t) -> -t.priority)
            .thenComparingDouble(Ticket::start)
            .thenComparingLong(Ticket::sequence);

    /**
     * Returns this ticket with the times that matter under shared scheduling.
     *
     * @param next the times
     * @return the ticket, at the same position of a {@link FairQueue}
     */
    public Ticket with(QueueTerms next) {
        return new Ticket(priority, start, span, sequence, id, team, next);
    }

    @Override
    public int compareTo(Ticket other) {
        return ORDER.compare(this, other);
    }
}
