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
 * Queues requests of each service until a backend server has capacity for them.
 */
final class RequestQueues {
    /** Priority of requests that were dispatched before. Exceeds every route's, as work already done would be lost. */
    private static final int RETRY_PRIORITY = 10;

    private static final long MIN_RETRY_AFTER_MS = 1_000;

    /** Cost of a request without a completion, in the unit of one generated token. */
    private static final double PLAIN_COST = 1;

    /** Cost of reading one token, relative to that of generating one. */
    private static final double PROMPT_TOKEN_COST = 0.1;

    private RequestQueues() {}

    /**
     * The placement requirements of a queued request. Requests with equal requirements can either all be dispatched or
     * none of them.
     */
    private record Requirements(Wanted wanted, boolean first) {
        static Requirements of(Turn reduction, Exchange request) {
            Wanted w = request.wanted();
            Split split =
                    reduction.view().shares().services().get(request.route().service());
            boolean first = split != null && request.draw() < split.newShare();
            return new Requirements(new Wanted(w.need(), 0, w.version(), w.avoid(), w.repeatable()), first);
        }
    }

    /** Queues a new request, or refuses it if the queue is full or the predicted wait ends after its deadline. */
    static void enqueue(Turn reduction, Exchange request, Found found) {
        String service = request.route().service();
        FairQueue queue = queue(reduction, service);
        Ticket ticket = ticket(reduction, request, queue);
        if (found.openMs() > request.deadlineMs()) {
            Ending.refuse(
                    reduction,
                    request,
                    new Refusal("backends_paused", reduction.spread(found.openMs() - reduction.nowMs())));
            return;
        }
        long waitMs = predictedWaitMs(reduction, service, queue.countAhead(ticket));
        if (Math.max(reduction.nowMs(), found.openMs()) + waitMs > request.deadlineMs()) {
            Ending.refuse(reduction, request, new Refusal("wait_too_long", retryAfterMs(reduction, service)));
            return;
        }
        if (queue.size() >= Policies.of(reduction, request).queueLimit() && !evictLast(reduction, service, ticket)) {
            Ending.refuse(reduction, request, new Refusal("queue_full", retryAfterMs(reduction, service)));
            return;
        }
        Quotas.charge(reduction, request);
        append(reduction, request, ticket);
    }

    /** Queues a request that has been dispatched before. */
    static void requeue(Turn reduction, Exchange request) {
        FairQueue queue = queue(reduction, request.route().service());
        append(reduction, request, ticket(reduction, request, queue));
    }

    /** Removes a request that ends from its queue, if it is queued. */
    static void remove(Turn reduction, Exchange request) {
        if (request.ticket().isEmpty()) {
            return;
        }
        String service = request.route().service();
        FairQueue queue = queue(reduction, service);
        reduction.state(reduction
                .state()
                .withQueue(service, queue.without(request.ticket().get())));
    }

    /** Refuses the last request of a full queue if the given ticket is ahead of it. Returns whether it did. */
    private static boolean evictLast(Turn reduction, String service, Ticket ticket) {
        Option<Ticket> last = queue(reduction, service).last();
        if (last.isEmpty()
                || last.get().priority() == RETRY_PRIORITY
                || last.get().compareTo(ticket) < 0) {
            return false;
        }
        Exchange evicted = reduction.find(last.get().id()).get();
        Ending.refuse(reduction, evicted, new Refusal("queue_full", retryAfterMs(reduction, service)));
        return true;
    }

    /** Dispatches all queued requests of a service for which a server has capacity, in queue order. */
    static void dispatchReady(Turn reduction, String service) {
        FairQueue queue = queue(reduction, service);
        Set<Requirements> blocked = new HashSet<>();
        for (Ticket ticket : queue.tickets()) {
            Exchange request = reduction.find(ticket.id()).get();
            Requirements requirements = Requirements.of(reduction, request);
            if (!blocked.contains(requirements) && !dispatchReady(reduction, request, ticket)) {
                blocked.add(requirements);
            }
        }
    }

    /** Dispatches a queued request, or ends it if no server is left. Returns whether it left the queue. */
    private static boolean dispatchReady(Turn reduction, Exchange request, Ticket ticket) {
        Found found = Dispatcher.find(reduction, request);
        if (found.choice().isDefined()) {
            String service = request.route().service();
            FairQueue queue = queue(reduction, service);
            reduction.state(reduction.state().withQueue(service, queue.withDispatch(ticket)));
            Dispatcher.dispatch(
                    reduction, request, found.choice().get(), request.history().next());
            return true;
        }
        if (found.availability() == Availability.NONE) {
            Ending.fail(reduction, request, EndReason.NO_BACKEND);
            return true;
        }
        return false;
    }

    private static Ticket ticket(Turn reduction, Exchange request, FairQueue queue) {
        Team team = Policies.team(reduction.view(), request.call().team());
        int configured = team.priority() > 0 ? team.priority() : request.route().priority();
        int priority = request.history().attempts() > 0 ? RETRY_PRIORITY : configured;
        return queue.ticketFor(request.id(), team.id(), team.weight(), priority, cost(request.call()));
    }

    private static void append(Turn reduction, Exchange request, Ticket ticket) {
        String service = request.route().service();
        reduction.state(
                reduction.state().withQueue(service, queue(reduction, service).with(ticket)));
        reduction.keep(request.queued(ticket));
        reduction.decide(request, Decision.Kind.QUEUED, Optional.empty(), "all servers are full");
    }

    private static FairQueue queue(Turn reduction, String service) {
        return reduction.state().queues().getOrElse(service, FairQueue.EMPTY);
    }

    private static long predictedWaitMs(Turn reduction, String service, int ahead) {
        return reduction.state().loads().getOrElse(service, ServiceLoad.NONE).predictedWaitMs(ahead);
    }

    private static long retryAfterMs(Turn reduction, String service) {
        long drainMs =
                predictedWaitMs(reduction, service, queue(reduction, service).size());
        return reduction.spread(Math.max(MIN_RETRY_AFTER_MS, drainMs));
    }

    private static double cost(CallerRequest call) {
        return call.completion()
                .map(c -> c.maxTokens() + PROMPT_TOKEN_COST * c.promptTokens())
                .orElse(PLAIN_COST);
    }
}
