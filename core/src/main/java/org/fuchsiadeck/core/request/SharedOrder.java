package org.fuchsiadeck.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.limit.FairQueue;
import org.fuchsiadeck.core.limit.QueueHistory;
import org.fuchsiadeck.core.limit.QueueOrder;
import org.fuchsiadeck.core.limit.QueueTerms;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.limit.TeamShares;
import org.fuchsiadeck.core.limit.Ticket;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;
import org.fuchsiadeck.core.routing.ServerEstimates;
import org.fuchsiadeck.core.routing.SplitMix;

/**
 * Applies {@link QueueOrder} to the queues of a node. Queues in which no request is subject to shared scheduling keep
 * the order of {@link FairQueue}.
 */
final class SharedOrder {
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private SharedOrder() {}

    /** Returns the terms of a request that is about to be queued; none if it was dispatched before. */
    static QueueTerms terms(RequestReduction reduction, ActiveRequest request, double cost) {
        if (request.history().attempts() > 0 || !SharedScheduling.isOn(reduction, request.route())) {
            return QueueTerms.NONE;
        }
        long target = request.route().terms().targetMs();
        long now = reduction.nowMs();
        double tokensPerMs =
                ServerEstimates.standard(reduction.view().self().zone()).prefillTokensPerMs();
        int tokens = request.call()
                .completion()
                .map(CallerRequest.Completion::promptTokens)
                .orElse(0);
        return new QueueTerms(
                now,
                target > 0 ? now + target : Long.MAX_VALUE,
                Math.max(now, request.deadlineMs()),
                Math.round(tokens / tokensPerMs),
                cost);
    }

    /** Returns the queued requests of a service in the order of their dispatch. */
    static List<Ticket> sort(RequestReduction reduction, FairQueue queue) {
        return isShared(queue)
                ? order(reduction, queue).sort(queue.tickets())
                : queue.tickets().toJavaList();
    }

    /** Counts the queued requests that are ahead of a ticket that is about to be added. */
    static int countAhead(RequestReduction reduction, FairQueue queue, Ticket ticket) {
        boolean shared = ticket.terms().isShared() || isShared(queue);
        return shared ? order(reduction, queue).countAhead(queue, ticket) : queue.countAhead(ticket);
    }

    /**
     * Returns whether a request that is about to be queued is predicted to be too late.
     *
     * @param fromMs the time from which on its service takes requests, in milliseconds
     */
    static boolean isTooLate(RequestReduction reduction, ActiveRequest request, Ticket ticket, int ahead, long fromMs) {
        String service = request.route().service();
        FairQueue queue = queue(reduction, service);
        long waitMs = predictedWaitMs(reduction, service, ahead);
        return fromMs + waitMs + ticket.terms().firstTokenMs()
                > order(reduction, queue).latestMs(ticket);
    }

    /** Returns the log fields of a request that is queued: its position, from 1, and its predicted wait. */
    static Map<String, Object> inputs(RequestReduction reduction, ActiveRequest request, int ahead) {
        if (!SharedScheduling.isOn(reduction, request.route())) {
            return Map.of();
        }
        long waitMs = predictedWaitMs(reduction, request.route().service(), ahead);
        return Map.of("position", ahead + 1, "predicted_wait_ms", waitMs);
    }

    /** Schedules a check at the time from which on a queued request can no longer meet its deadline. */
    static void scheduleCheck(RequestReduction reduction, ActiveRequest request, Ticket ticket) {
        if (ticket.terms().isShared() && ticket.terms().firstTokenMs() > 0) {
            long lateMs = ticket.terms().deadlineMs() - ticket.terms().firstTokenMs() + 1;
            reduction.schedule(Math.max(reduction.nowMs(), lateMs), new TimerFired(request.id(), Timer.DEADLINE, 0));
        }
    }

    /** Refuses a queued request if it would miss its deadline even if it were dispatched now. */
    static void refuseIfLate(RequestReduction reduction, ActiveRequest request) {
        boolean late =
                request.ticket().map(Ticket::terms).exists(t -> t.isShared() && t.lateness(reduction.nowMs(), 0) > 1);
        if (late) {
            int ahead = queue(reduction, request.route().service()).size() - 1;
            refuse(reduction, request, request.ticket().get(), "wait_too_long", ahead);
        }
    }

    /** Refuses the queued requests that would be too late even if they were dispatched now. */
    static void refuseLate(RequestReduction reduction, String service) {
        FairQueue queue = queue(reduction, service);
        if (!isShared(queue)) {
            return;
        }
        List<Ticket> late =
                queue.tickets().filter(order(reduction, queue)::isTooLate).toJavaList();
        for (Ticket ticket : late) {
            int ahead = queue(reduction, service).size() - 1;
            refuse(reduction, reduction.find(ticket.id()).get(), ticket, "wait_too_long", ahead);
        }
    }

    /**
     * Refuses a request that is queued, or that was about to be queued, before its deadline.
     *
     * @param ahead the number of queued requests ahead of it
     */
    static void refuse(RequestReduction reduction, ActiveRequest request, Ticket ticket, String reason, int ahead) {
        String service = request.route().service();
        long now = reduction.nowMs();
        long intervalMs = predictedWaitMs(reduction, service, 0);
        long earliestMs = now + Math.max(MIN_RETRY_AFTER_MS, predictedWaitMs(reduction, service, ahead));
        update(reduction, service, h -> h.withReturn(ticket.priority(), earliestMs, intervalMs));
        if (request.ticket().isEmpty()) {
            update(reduction, service, h -> h.withOutcome(ticket, false, now));
        }
        long returnMs = queue(reduction, service).history().returnMs(ticket.priority());
        // Nodes compute the times independently; the fraction of an interval keeps their callers apart.
        long retryMs = returnMs - now + Math.round(intervalMs * SplitMix.toFraction(reduction.randomBits()));
        reduction.updateCounters(c -> c.plusQueueing("early_refused"));
        RequestFinisher.refuse(reduction, request, new Refusal(reason, retryMs));
    }

    /** Removes a ticket whose request ends while queued. */
    static FairQueue withoutEnded(RequestReduction reduction, FairQueue queue, ActiveRequest request) {
        Ticket ticket = request.ticket().get();
        if (!ticket.terms().isShared()) {
            return queue.without(ticket);
        }
        FairQueue rest = queue.withRefusal(ticket);
        return request.callerGone() ? rest : rest.with(rest.history().withOutcome(ticket, false, reduction.nowMs()));
    }

    /** Records that a queued request is dispatched. The queue no longer contains it. */
    static FairQueue withDispatched(RequestReduction reduction, FairQueue queue, Ticket ticket) {
        if (!ticket.terms().isShared()) {
            return queue;
        }
        if (queue.tickets().exists(t -> t.priority() > ticket.priority())) {
            reduction.updateCounters(c -> c.plusQueueing("aged"));
        }
        boolean overtakes = queue.tickets()
                .exists(t -> t.priority() >= ticket.priority()
                        && t.terms().isShared()
                        && t.terms().arrivedMs() < ticket.terms().arrivedMs());
        if (overtakes) {
            reduction.updateCounters(c -> c.plusQueueing("overtaken"));
        }
        return queue.with(queue.history().withOutcome(ticket, true, reduction.nowMs()));
    }

    private static void update(RequestReduction reduction, String service, UnaryOperator<QueueHistory> change) {
        FairQueue queue = queue(reduction, service);
        reduction.state(reduction.state().withQueue(service, queue.with(change.apply(queue.history()))));
    }

    static void recordArrival(RequestReduction reduction, String service, Ticket ticket) {
        if (ticket.terms().isShared()) {
            update(reduction, service, h -> h.withArrival(ticket));
        }
    }

    private static boolean isShared(FairQueue queue) {
        return queue.tickets().exists(t -> t.terms().isShared());
    }

    private static QueueOrder order(RequestReduction reduction, FairQueue queue) {
        List<TeamShares.Use> uses = new ArrayList<>();
        for (Team team : reduction.view().config().teams()) {
            double units = reduction.view().usage().recentlySpentUnits(reduction.nowMs(), team.id());
            uses.add(new TeamShares.Use(
                    team.id(), team.weight(), units, team.quota().tokens()));
        }
        return new QueueOrder(queue.history(), TeamShares.of(uses), reduction.nowMs(), RequestQueues.RETRY_PRIORITY);
    }

    private static FairQueue queue(RequestReduction reduction, String service) {
        return reduction.state().queues().getOrElse(service, FairQueue.EMPTY);
    }

    /** Predicts the wait of a request subject to shared scheduling, in milliseconds. */
    private static long predictedWaitMs(RequestReduction reduction, String service, int ahead) {
        ServiceLoad load = reduction.state().loads().getOrElse(service, ServiceLoad.NONE);
        return queue(reduction, service).history().predictedWaitMs(load, ahead, reduction.nowMs());
    }
}
