package org.fuchsiadeck.core.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.limit.FairQueue;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.limit.Ticket;
import org.fuchsiadeck.core.model.VersionShares.Split;
import org.fuchsiadeck.core.routing.PlacementFinder.Availability;
import org.fuchsiadeck.core.routing.PlacementFinder.PlacementResult;
import org.fuchsiadeck.core.routing.PlacementRequest;

/**
 * Queues requests of each service until a backend server has capacity for them.
 */
final class RequestQueues {
    /** Priority of requests that were dispatched before. Exceeds every route's, as work already done would be lost. */
    static final int RETRY_PRIORITY = 10;

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
    private record Requirements(PlacementRequest wanted, boolean first) {
        static Requirements of(RequestReduction reduction, ActiveRequest request) {
            PlacementRequest w = request.wanted();
            Split split =
                    reduction.view().shares().services().get(request.route().service());
            boolean first = split != null && request.draw() < split.newShare();
            return new Requirements(
                    new PlacementRequest(w.need(), 0, w.requiredVersion(), w.avoided(), w.repeatable()), first);
        }
    }

    /** Queues a new request, or refuses it if the queue is full or the predicted wait ends after its deadline. */
    static void enqueue(RequestReduction reduction, ActiveRequest request, PlacementResult found) {
        String service = request.route().service();
        FairQueue queue = queue(reduction, service);
        Ticket ticket = ticket(reduction, request, queue);
        int ahead = SharedOrder.countAhead(reduction, queue, ticket);
        SharedOrder.recordArrival(reduction, service, ticket);
        if (found.pausedUntilMs() > request.deadlineMs()) {
            RequestFinisher.refuse(
                    reduction,
                    request,
                    new Refusal("backends_paused", reduction.withJitter(found.pausedUntilMs() - reduction.nowMs())));
            return;
        }
        long sendMs = ServerLimits.earliestSendMs(reduction, request, ahead);
        if (sendMs > request.deadlineMs()) {
            RequestFinisher.refuse(
                    reduction,
                    request,
                    new Refusal("backends_limited", reduction.withJitter(sendMs - reduction.nowMs())));
            return;
        }
        if (isTooLate(reduction, request, ticket, ahead, Math.max(reduction.nowMs(), found.pausedUntilMs()))) {
            refuse(reduction, request, ticket, "wait_too_long", ahead);
            return;
        }
        if (queue.size() >= Policies.of(reduction, request).queueLimit() && !evictLast(reduction, service, ticket)) {
            refuse(reduction, request, ticket, "queue_full", ahead);
            return;
        }
        Quotas.charge(reduction, request);
        append(reduction, request, ticket, ahead);
        SharedOrder.scheduleCheck(reduction, request, ticket);
    }

    private static boolean isTooLate(
            RequestReduction reduction, ActiveRequest request, Ticket ticket, int ahead, long fromMs) {
        if (ticket.terms().isShared()) {
            return SharedOrder.isTooLate(reduction, request, ticket, ahead, fromMs);
        }
        return fromMs + predictedWaitMs(reduction, request.route().service(), ahead) > request.deadlineMs();
    }

    /** Queues a request that has been dispatched before. */
    static void requeue(RequestReduction reduction, ActiveRequest request) {
        FairQueue queue = queue(reduction, request.route().service());
        Ticket ticket = ticket(reduction, request, queue);
        append(reduction, request, ticket, SharedOrder.countAhead(reduction, queue, ticket));
    }

    private static void refuse(
            RequestReduction reduction, ActiveRequest request, Ticket ticket, String reason, int ahead) {
        if (ticket.terms().isShared()) {
            SharedOrder.refuse(reduction, request, ticket, reason, ahead);
            return;
        }
        long retryMs = retryAfterMs(reduction, request.route().service());
        RequestFinisher.refuse(reduction, request, new Refusal(reason, retryMs));
    }

    /** Removes a request that ends from its queue, if it is queued. */
    static void remove(RequestReduction reduction, ActiveRequest request) {
        if (request.ticket().isEmpty()) {
            return;
        }
        String service = request.route().service();
        FairQueue queue = queue(reduction, service);
        reduction.state(reduction.state().withQueue(service, SharedOrder.withoutEnded(reduction, queue, request)));
    }

    /** Refuses the last request of a full queue if the given ticket is ahead of it. Returns whether it did. */
    private static boolean evictLast(RequestReduction reduction, String service, Ticket ticket) {
        FairQueue queue = queue(reduction, service);
        List<Ticket> order = SharedOrder.sort(reduction, queue.with(ticket));
        Ticket last = order.get(order.size() - 1);
        if (last.priority() == RETRY_PRIORITY || last.id().equals(ticket.id())) {
            return false;
        }
        ActiveRequest evicted = reduction.find(last.id()).get();
        refuse(reduction, evicted, last, "queue_full", queue.size());
        return true;
    }

    /** Dispatches all queued requests of a service for which a server has capacity, in queue order. */
    static void dispatchReady(RequestReduction reduction, String service) {
        SharedOrder.refuseLate(reduction, service);
        List<Ticket> order = SharedOrder.sort(reduction, queue(reduction, service));
        Set<Requirements> blocked = new HashSet<>();
        for (Ticket ticket : order) {
            ActiveRequest request = reduction.find(ticket.id()).get();
            Requirements requirements = Requirements.of(reduction, request);
            if (!blocked.contains(requirements) && !dispatchReady(reduction, request, ticket)) {
                blocked.add(requirements);
            }
        }
        ServerLimits.onRequestsWaiting(
                reduction, service, queue(reduction, service).size());
        CapacityGate.onRequestsWaiting(reduction, service);
    }

    /** Dispatches a queued request, or ends it if no server is left. Returns whether it left the queue. */
    private static boolean dispatchReady(RequestReduction reduction, ActiveRequest request, Ticket ticket) {
        PlacementResult found = Dispatcher.findServer(reduction, request);
        if (found.choice().isDefined()) {
            String service = request.route().service();
            FairQueue rest = queue(reduction, service).withDispatch(ticket);
            FairQueue next = SharedOrder.withDispatched(reduction, rest, ticket);
            reduction.state(reduction.state().withQueue(service, next));
            Dispatcher.dispatch(
                    reduction, request, found.choice().get(), request.history().next());
            return true;
        }
        if (found.availability() == Availability.NONE) {
            RequestFinisher.fail(reduction, request, EndReason.NO_BACKEND);
            return true;
        }
        return false;
    }

    private static Ticket ticket(RequestReduction reduction, ActiveRequest request, FairQueue queue) {
        Team team = Policies.team(reduction.view(), request.call().team());
        int configured = team.priority() > 0 ? team.priority() : request.route().priority();
        int priority = request.history().attempts() > 0 ? RETRY_PRIORITY : configured;
        double cost = cost(request.call());
        return queue.ticketFor(request.id(), team.id(), team.weight(), priority, cost)
                .with(SharedOrder.terms(reduction, request, cost));
    }

    private static void append(RequestReduction reduction, ActiveRequest request, Ticket ticket, int ahead) {
        String service = request.route().service();
        reduction.state(
                reduction.state().withQueue(service, queue(reduction, service).with(ticket)));
        reduction.put(request.queued(ticket));
        reduction.recordDecision(
                request,
                Decision.Kind.QUEUED,
                Optional.empty(),
                "all servers are full",
                waitInputs(reduction, request, ahead));
        ServerLimits.onRequestsWaiting(
                reduction, service, queue(reduction, service).size());
        CapacityGate.onRequestsWaiting(reduction, service);
    }

    private static Map<String, Object> waitInputs(RequestReduction reduction, ActiveRequest request, int ahead) {
        Map<String, Object> inputs = new LinkedHashMap<>(SharedOrder.inputs(reduction, request, ahead));
        inputs.putAll(CapacityGate.waitInputs(reduction, request));
        return inputs;
    }

    private static FairQueue queue(RequestReduction reduction, String service) {
        return reduction.state().queues().getOrElse(service, FairQueue.EMPTY);
    }

    private static long predictedWaitMs(RequestReduction reduction, String service, int ahead) {
        return reduction.state().loads().getOrElse(service, ServiceLoad.NONE).predictedWaitMs(ahead);
    }

    private static long retryAfterMs(RequestReduction reduction, String service) {
        long drainMs =
                predictedWaitMs(reduction, service, queue(reduction, service).size());
        return reduction.withJitter(Math.max(MIN_RETRY_AFTER_MS, drainMs));
    }

    private static double cost(CallerRequest call) {
        return call.completion()
                .map(c -> c.maxTokens() + PROMPT_TOKEN_COST * c.promptTokens())
                .orElse(PLAIN_COST);
    }
}
