package org.fuchsiadeck.core.limit;

import java.util.Comparator;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;

/**
 * A request's place in a {@link FairQueue}. The least ticket goes first.
 *
 * @param priority the greater goes first
 * @param start the virtual time at which the request may start
 * @param span the virtual time it takes from its team
 * @param sequence when it joined, among all of the queue
 * @param id the request
 * @param team the team it is charged to
 */
public record Ticket(int priority, double start, double span, long sequence, RequestId id, TeamId team)
        implements Comparable<Ticket> {
    private static final Comparator<Ticket> ORDER = Comparator.comparingInt((Ticket t) -> -t.priority)
            .thenComparingDouble(Ticket::start)
            .thenComparingLong(Ticket::sequence);

    @Override
    public int compareTo(Ticket other) {
        return ORDER.compare(this, other);
    }
}
