package org.fuchsiadeck.core.limit;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;

/**
 * Requests that wait for one service: by priority, then by start-time fair queueing between teams. A team that waits
 * gets its part by weight, however many requests the other teams send.
 *
 * @param tickets the waiting requests, the next one first
 * @param finish for each team, the virtual time at which its last request ends
 * @param virtual the virtual time: the start of the request that was served last
 * @param sequence requests that joined so far
 */
public record FairQueue(TreeSet<Ticket> tickets, Map<TeamId, Double> finish, double virtual, long sequence) {
    /** A queue without requests. */
    public static final FairQueue EMPTY = new FairQueue(TreeSet.empty(), HashMap.empty(), 0, 0);

    /**
     * Returns the place a request would get. The queue stays as it is.
     *
     * @param id the request
     * @param team the team it is charged to
     * @param weight the team's part, relative to the other teams
     * @param priority the greater goes first
     * @param cost the work it asks for, in any unit that all requests of the queue share
     * @return the ticket for {@link #added(Ticket)}
     */
    public Ticket ticketFor(RequestId id, TeamId team, int weight, int priority, double cost) {
        double start = Math.max(virtual, finish.getOrElse(team, 0.0));
        return new Ticket(priority, start, cost / weight, sequence, id, team);
    }

    /**
     * Adds a request.
     *
     * @param ticket its place
     * @return the next queue
     */
    public FairQueue added(Ticket ticket) {
        Map<TeamId, Double> ends = finish.put(ticket.team(), ticket.start() + ticket.span());
        return new FairQueue(tickets.add(ticket), ends, virtual, sequence + 1);
    }

    /**
     * Takes a request out because it is dispatched.
     *
     * @param ticket its place
     * @return the next queue
     */
    public FairQueue dispatched(Ticket ticket) {
        TreeSet<Ticket> rest = tickets.remove(ticket);
        if (rest.isEmpty()) {
            return new FairQueue(rest, HashMap.empty(), 0, sequence);
        }
        return new FairQueue(rest, finish, Math.max(virtual, ticket.start()), sequence);
    }

    /**
     * Takes a request out because it ended while it waited. Its team gets the time back if the request was its last.
     *
     * @param ticket its place
     * @return the next queue
     */
    public FairQueue removed(Ticket ticket) {
        TreeSet<Ticket> rest = tickets.remove(ticket);
        if (rest.isEmpty()) {
            return new FairQueue(rest, HashMap.empty(), 0, sequence);
        }
        boolean last = finish.getOrElse(ticket.team(), 0.0) == ticket.start() + ticket.span();
        Map<TeamId, Double> ends = last ? finish.put(ticket.team(), ticket.start()) : finish;
        return new FairQueue(rest, ends, virtual, sequence);
    }

    /**
     * Returns how many requests would go before a ticket.
     *
     * @param ticket a place in this queue, joined or not
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
     * Returns the request that goes last.
     *
     * @return its ticket; none if the queue is empty
     */
    public Option<Ticket> last() {
        return tickets.lastOption();
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number of requests
     */
    public int size() {
        return tickets.size();
    }
}
