package org.fuchsiadeck.core.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Option;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.limit.FairQueue;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.limit.Ticket;
import org.fuchsiadeck.core.model.VersionShares.Split;
import org.fuchsiadeck.core.routing.Placement.Availability;
import org.fuchsiadeck.core.routing.Placement.Found;
import org.fuchsiadeck.core.routing.Wanted;

/**
 * The requests that wait for a backend server.
 */
final class RequestQueues {
    /** Goes before every route's priority: the work done so far is lost otherwise. */
    private static final int RETRY_PRIORITY = 10;

    private static final long MIN_RETRY_AFTER_MS = 1_000;
    private static final double PLAIN_COST = 1;
    private static final double PROMPT_TOKEN_COST = 0.1;

    private RequestQueues() {}

    /** What a queued request asks for; two alike are served or blocked alike. */
    private record Kind(Wanted wanted, boolean first) {
        static Kind of(Turn turn, Exchange exchange) {
            Wanted w = exchange.wanted();
            Split split = turn.view().shares().services().get(exchange.route().service());
            boolean first = split != null && exchange.draw() < split.newShare();
            return new Kind(new Wanted(w.need(), 0, w.version(), w.avoid(), w.repeatable()), first);
        }
    }

    /** Lets a fresh request wait, or refuses it if its wait would be too long. */
    static void enqueue(Turn turn, Exchange exchange, Found found) {
        String service = exchange.route().service();
        FairQueue queue = queue(turn, service);
        Ticket ticket = ticket(turn, exchange, queue);
        if (found.openMs() > exchange.deadlineMs()) {
            Ending.refuse(turn, exchange, new Refusal("backends_paused", turn.spread(found.openMs() - turn.nowMs())));
            return;
        }
        long waitMs = waitMs(turn, service, queue.countAhead(ticket));
        if (Math.max(turn.nowMs(), found.openMs()) + waitMs > exchange.deadlineMs()) {
            Ending.refuse(turn, exchange, new Refusal("wait_too_long", comeBack(turn, service)));
            return;
        }
        if (queue.size() >= Policies.of(turn, exchange).queueLimit() && !evictLast(turn, service, ticket)) {
            Ending.refuse(turn, exchange, new Refusal("queue_full", comeBack(turn, service)));
            return;
        }
        Quotas.charge(turn, exchange);
        join(turn, exchange, ticket);
    }

    /** Lets a request that has been dispatched before wait for its next server. */
    static void requeue(Turn turn, Exchange exchange) {
        FairQueue queue = queue(turn, exchange.route().service());
        join(turn, exchange, ticket(turn, exchange, queue));
    }

    /** Takes a request that ends out of its queue. */
    static void remove(Turn turn, Exchange exchange) {
        if (exchange.ticket().isEmpty()) {
            return;
        }
        String service = exchange.route().service();
        FairQueue queue = queue(turn, service);
        turn.state(
                turn.state().withQueue(service, queue.removed(exchange.ticket().get())));
    }

    /** Refuses the last request of a full queue if the given one goes before it. */
    private static boolean evictLast(Turn turn, String service, Ticket ticket) {
        Option<Ticket> last = queue(turn, service).last();
        if (last.isEmpty()
                || last.get().priority() == RETRY_PRIORITY
                || last.get().compareTo(ticket) < 0) {
            return false;
        }
        Exchange evicted = turn.find(last.get().id()).get();
        Ending.refuse(turn, evicted, new Refusal("queue_full", comeBack(turn, service)));
        return true;
    }

    /** Dispatches the requests of a service that can be served now, in their order. */
    static void dispatchReady(Turn turn, String service) {
        FairQueue queue = queue(turn, service);
        Set<Kind> blocked = new HashSet<>();
        for (Ticket ticket : queue.tickets()) {
            Exchange exchange = turn.find(ticket.id()).get();
            Kind kind = Kind.of(turn, exchange);
            if (!blocked.contains(kind) && !dispatchReady(turn, exchange, ticket)) {
                blocked.add(kind);
            }
        }
    }

    private static boolean dispatchReady(Turn turn, Exchange exchange, Ticket ticket) {
        Found found = Dispatcher.find(turn, exchange);
        if (found.choice().isDefined()) {
            String service = exchange.route().service();
            FairQueue queue = queue(turn, service);
            turn.state(turn.state().withQueue(service, queue.dispatched(ticket)));
            Dispatcher.dispatch(
                    turn, exchange, found.choice().get(), exchange.history().next());
            return true;
        }
        if (found.availability() == Availability.NONE) {
            Ending.fail(turn, exchange, EndReason.NO_BACKEND);
            return true;
        }
        return false;
    }

    private static Ticket ticket(Turn turn, Exchange exchange, FairQueue queue) {
        Team team = Policies.team(turn.view(), exchange.call().team());
        int usual = team.priority() > 0 ? team.priority() : exchange.route().priority();
        int priority = exchange.history().attempts() > 0 ? RETRY_PRIORITY : usual;
        return queue.ticketFor(exchange.id(), team.id(), team.weight(), priority, cost(exchange.call()));
    }

    private static void join(Turn turn, Exchange exchange, Ticket ticket) {
        String service = exchange.route().service();
        turn.state(turn.state().withQueue(service, queue(turn, service).added(ticket)));
        turn.keep(exchange.queued(ticket));
        turn.decide(exchange, Decision.Kind.QUEUED, Optional.empty(), "all servers are full");
    }

    private static FairQueue queue(Turn turn, String service) {
        return turn.state().queues().getOrElse(service, FairQueue.EMPTY);
    }

    private static long waitMs(Turn turn, String service, int ahead) {
        return turn.state().loads().getOrElse(service, ServiceLoad.NONE).predictedWaitMs(ahead);
    }

    private static long comeBack(Turn turn, String service) {
        long drainMs = waitMs(turn, service, queue(turn, service).size());
        return turn.spread(Math.max(MIN_RETRY_AFTER_MS, drainMs));
    }

    private static double cost(CallerRequest call) {
        return call.completion()
                .map(c -> c.maxTokens() + PROMPT_TOKEN_COST * c.promptTokens())
                .orElse(PLAIN_COST);
    }
}
