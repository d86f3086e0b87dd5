package org.fuchsiadeck.core.limit;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;

/**
 * The queued requests of one service, ordered by priority, then by start-time fair queueing between teams. Each team
 * with queued requests is served in proportion to its weight, however many requests the other teams send.
 *
 * @param tickets tickets of the queued requests, the next one first
 * @param finish virtual finish time of the last request of each team
 * @param virtual virtual time: the greatest virtual start time of the dispatched requests; 0 while the queue is empty
 * @param sequence number of requests added so far
 * @param history the recent outcomes of the requests; empty without shared scheduling
 */
public record FairQueue(
        TreeSet<Ticket> tickets, Map<TeamId, Double> finish, double virtual, long sequence, QueueHistory history) {
    /** An empty queue. */
    public static final FairQueue EMPTY = new FairQueue(TreeSet.empty(), HashMap.empty(), 0, 0, QueueHistory.NONE);

    /**
     * Creates a ticket for a request without adding it.
     *
     * @param id the request
     * @param team the team that the request is charged to
     * @param weight the team's weight, relative to the other teams
     * @param priority the priority; greater values are dispatched first
     * @param cost the amount of work, in a unit common to all requests of the queue
     * @return the ticket for {@link #with(Ticket)}
     */
    public Ticket ticketFor(RequestId id, TeamId team, int weight, int priority, double cost) {
        double start = Math.max(virtual, finish.getOrElse(team, 0.0));
        return new Ticket(priority, start, cost / weight, sequence, id, team, QueueTerms.NONE);
    }

    /**
     * Returns this queue with a request added.
     *
     * @param ticket the ticket of the request
     * @return the updated queue
     */
    public FairQueue with(Ticket ticket) {
        Map<TeamId, Double> finishTimes = finish.put(ticket.team(), ticket.start() + ticket.span());
        return new FairQueue(tickets.add(ticket), finishTimes, virtual, sequence + 1, history);
    }

    /**
     * Returns this queue without a request that is dispatched. Advances the virtual time.
     *
     * @param ticket the ticket of the request
     * @return the updated queue
     */
    public FairQueue withDispatch(Ticket ticket) {
        TreeSet<Ticket> remaining = tickets.remove(ticket);
        if (remaining.isEmpty()) {
            return new FairQueue(remaining, HashMap.empty(), 0, sequence, history);
        }
        return new FairQueue(remaining, finish, Math.max(virtual, ticket.start()), sequence, history);
    }

    /**
     * Returns this queue without a request that ended while queued. Its virtual duration is credited back to its
     * team if it was the last request of the team.
     *
     * @param ticket the ticket of the request
     * @return the updated queue
     */
    public FairQueue without(Ticket ticket) {
        TreeSet<Ticket> remaining = tickets.remove(ticket);
        if (remaining.isEmpty()) {
            return new FairQueue(remaining, HashMap.empty(), 0, sequence, history);
        }
        boolean last = finish.getOrElse(ticket.team(), 0.0) == ticket.start() + ticket.span();
        Map<TeamId, Double> finishTimes = last ? finish.put(ticket.team(), ticket.start()) : finish;
        return new FairQueue(remaining, finishTimes, virtual, sequence, history);
    }

    /**
     * Returns this queue without a request that is refused although later ones of its team stay. The virtual duration is
     * credited to the team's next request, so that a team does not pay for requests that were not run.
     *
     * @param ticket the ticket of the request
     * @return the updated queue
     */
    public FairQueue withRefusal(Ticket ticket) {
        FairQueue rest = without(ticket);
        double credited = finish.getOrElse(ticket.team(), 0.0) - ticket.span();
        boolean queued = rest.finish().containsKey(ticket.team());
        return queued
                ? new FairQueue(rest.tickets, rest.finish.put(ticket.team(), credited), virtual, sequence, history)
                : rest;
    }

    /**
     * Returns this queue with another history.
     *
     * @param next the recent outcomes
     * @return the updated queue
     */
    public FairQueue with(QueueHistory next) {
        return new FairQueue(tickets, finish, virtual, sequence, next);
    }

    /**
     * Counts the queued requests that are ahead of a ticket.
     *
     * @param ticket a ticket of this queue, added or not
     * @return the number of requests
     */
    public int countAhead(Ticket ticket) {
        int count = 0;
        for (Ticket other : tickets) {
            if (other.compareTo(ticket) >= 0) {
                return count;
            }
            count++;
        }
        return count;
    }

    /**
     * Returns the ticket of the last request.
     *
     * @return the ticket; none if the queue is empty
     */
    public Option<Ticket> last() {
        return tickets.lastOption();
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number of requests
     */
    public int size() {
        return tickets.size();
    }

    /**
     * Returns whether nothing needs to be kept of the queue.
     *
     * @return whether it is empty and has no history
     */
    public boolean isForgotten() {
        return tickets.isEmpty() && history.isEmpty();
    }
}
