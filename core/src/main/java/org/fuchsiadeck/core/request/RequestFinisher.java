package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.claim.ClaimEvent.Settlement;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.core.routing.BackendStatus;

/**
 * Gives a request its final answer, settles its claim and removes it from the state. Each request is finished exactly
 * once.
 */
final class RequestFinisher {
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;
    private static final long MIN_RETRY_AFTER_MS = 1_000;
    private static final String MAY_HAVE_RUN_DETAIL = "The request may have run.";
    private static final String NOT_RUN_DETAIL = "The request was not run.";

    private RequestFinisher() {}

    static void finishAnswered(RequestReduction reduction, ActiveRequest request) {
        reduction.updateCounters(RequestCounters::plusAnswered);
        release(reduction, request, Settlement.ANSWERED);
    }

    /** Refuses a request as not run; if it may have run, answers that its outcome is unknown. */
    static void refuse(RequestReduction reduction, ActiveRequest request, Refusal refusal) {
        if (request.mayHaveRun()) {
            finishUnknown(
                    reduction,
                    request,
                    STATUS_BAD_GATEWAY,
                    new EndReason(refusal.reason(), false, MAY_HAVE_RUN_DETAIL));
            return;
        }
        if (!request.callerGone()) {
            reduction.emit(refusalResponse(request.id(), refusal));
            reduction.recordDecision(
                    request,
                    Decision.Kind.REFUSED,
                    Optional.empty(),
                    refusal.reason(),
                    refusalInputs(reduction, request, refusal));
            reduction.updateCounters(c -> c.plusRefused(refusal.reason()));
        }
        release(reduction, request, Settlement.NOT_RUN);
    }

    /** Refuses a request that matches no route. */
    static void refuseUnrouted(RequestReduction reduction, RequestId id, Refusal refusal) {
        reduction.emit(refusalResponse(id, refusal));
        reduction.log(EventCode.REQUEST_REFUSED, id + " " + refusal.reason());
        reduction.recordDecision(id, "", Decision.Kind.REFUSED, Optional.empty(), refusal.reason());
        reduction.updateCounters(c -> c.plusRefused(refusal.reason()));
        reduction.emit(new RequestEffect.Release(id));
    }

    static void rejectDuplicate(RequestReduction reduction, ActiveRequest request, RequestEvent.Denial denial) {
        String reason = denial == RequestEvent.Denial.IN_PROGRESS ? "in_progress" : "already_answered";
        String detail = "An earlier request has the same idempotency key.";
        reduction.emit(new RequestEffect.Respond(request.id(), Outcome.DUPLICATE, STATUS_CONFLICT, 0, reason, detail));
        reduction.recordDecision(request, Decision.Kind.DUPLICATE, Optional.empty(), reason);
        reduction.updateCounters(RequestCounters::plusDuplicate);
        release(reduction, request, Settlement.NOT_RUN);
    }

    static void rejectEarlierUnknown(RequestReduction reduction, ActiveRequest request) {
        String detail = "An earlier request with the same idempotency key may have run.";
        finishUnknown(reduction, request, STATUS_CONFLICT, new EndReason("earlier_outcome_unknown", false, detail));
    }

    /** Ends a failed request: as not run only if that is proved, else with an unknown outcome. */
    static void fail(RequestReduction reduction, ActiveRequest request, EndReason why) {
        if (request.mayHaveRun()) {
            finishUnknown(reduction, request, why.timeout() ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY, why);
            return;
        }
        refuse(reduction, request, new Refusal(why.reason(), reduction.withJitter(MIN_RETRY_AFTER_MS)));
    }

    /** Ends a request without an answer, since its caller has disconnected. */
    static void abandon(RequestReduction reduction, ActiveRequest request) {
        release(reduction, request, request.mayHaveRun() ? Settlement.UNKNOWN : Settlement.NOT_RUN);
    }

    private static void finishUnknown(RequestReduction reduction, ActiveRequest request, int status, EndReason why) {
        int error = request.history().errorOf();
        if (error > 0 && !request.callerGone()) {
            reduction.emit(new RequestEffect.Relay(request.id(), error));
            reduction.recordDecision(request, Decision.Kind.ERROR_PASSED_ON, Optional.empty(), why.reason());
            finishAnswered(reduction, request);
            return;
        }
        if (!request.callerGone()) {
            reduction.emit(
                    new RequestEffect.Respond(request.id(), Outcome.UNKNOWN, status, 0, why.reason(), why.detail()));
        }
        reduction.recordDecision(
                request,
                Decision.Kind.UNKNOWN,
                Optional.empty(),
                why.reason(),
                Map.of("status", status, "seen", why.detail()));
        reduction.updateCounters(c -> c.plusUnknown(why.reason()));
        release(reduction, request, Settlement.UNKNOWN);
    }

    private static RequestEffect refusalResponse(RequestId id, Refusal refusal) {
        return new RequestEffect.Respond(
                id, Outcome.NOT_RUN, refusal.status(), refusal.retryAfterMs(), refusal.reason(), NOT_RUN_DETAIL);
    }

    /** Returns the log fields of a refusal: the number of servers by state, of attempts there and of queued requests. */
    private static Map<String, Object> refusalInputs(
            RequestReduction reduction, ActiveRequest request, Refusal refusal) {
        String service = request.route().service();
        int listed = 0;
        int suspected = 0;
        int leaving = 0;
        int busy = 0;
        for (BackendStatus server : reduction.state().fleet().servers().values()) {
            if (!server.backend().service().equals(service) || !server.listed()) {
                continue;
            }
            listed++;
            busy += server.inFlight();
            suspected += server.health().isSuspected(reduction.nowMs()) ? 1 : 0;
            leaving += reduction
                            .state()
                            .fleet()
                            .departures()
                            .containsKey(server.backend().id())
                    ? 1
                    : 0;
        }
        Map<String, Object> inputs = new LinkedHashMap<>();
        inputs.put("status", refusal.status());
        inputs.put("retry_after_ms", refusal.retryAfterMs());
        inputs.putAll(refusal.inputs());
        inputs.put("servers", listed);
        inputs.put("servers_suspected", suspected);
        inputs.put("servers_leaving", leaving);
        inputs.put("busy_here", busy);
        inputs.put(
                "waiting",
                reduction.state().queues().get(service).map(q -> q.size()).getOrElse(0));
        return inputs;
    }

    private static void release(RequestReduction reduction, ActiveRequest request, Settlement settlement) {
        RequestQueues.remove(reduction, request);
        reduction.remove(request.id());
        reduction.emit(new RequestEffect.Release(request.id()));
        request.claim().forEach(key -> reduction.raise(new ClaimEvent.Settled(request.id(), key, settlement)));
    }
}
