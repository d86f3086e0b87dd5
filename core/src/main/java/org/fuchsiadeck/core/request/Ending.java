package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.claim.ClaimEvent.Settlement;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.core.routing.Server;

/**
 * Gives a request its final answer, settles its claim and forgets it. Each request comes here exactly once.
 */
final class Ending {
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final String MAY_HAVE_RUN_DETAIL = "The request may have run.";
    private static final String NOT_RUN_DETAIL = "The request was not run.";

    private Ending() {}

    static void answered(Turn turn, Exchange exchange) {
        turn.count(Counters::answeredOne);
        close(turn, exchange, Settlement.ANSWERED);
    }

    /** Refuses a request, unless it may have run. */
    static void refuse(Turn turn, Exchange exchange, Refusal refusal) {
        if (exchange.mayHaveRun()) {
            unknown(turn, exchange, BAD_GATEWAY, new EndReason(refusal.reason(), false, MAY_HAVE_RUN_DETAIL));
            return;
        }
        if (!exchange.callerGone()) {
            turn.effect(respond(exchange.id(), refusal));
            turn.decide(
                    exchange,
                    Decision.Kind.REFUSED,
                    Optional.empty(),
                    refusal.reason(),
                    inputs(turn, exchange, refusal));
            turn.count(c -> c.refusedOne(refusal.reason()));
        }
        close(turn, exchange, Settlement.NOT_RUN);
    }

    /** Refuses a request that belongs to no route. */
    static void refuseUnknown(Turn turn, RequestId id, Refusal refusal) {
        turn.effect(respond(id, refusal));
        turn.log(EventCode.REQUEST_REFUSED, id + " " + refusal.reason());
        turn.decide(id, "", Decision.Kind.REFUSED, Optional.empty(), refusal.reason());
        turn.count(c -> c.refusedOne(refusal.reason()));
        turn.effect(new RequestEffect.Release(id));
    }

    static void duplicate(Turn turn, Exchange exchange, RequestEvent.Denial denial) {
        String reason = denial == RequestEvent.Denial.IN_PROGRESS ? "in_progress" : "already_answered";
        String detail = "An earlier request has the same idempotency key.";
        turn.effect(new RequestEffect.Respond(exchange.id(), Outcome.DUPLICATE, CONFLICT, 0, reason, detail));
        turn.decide(exchange, Decision.Kind.DUPLICATE, Optional.empty(), reason);
        turn.count(Counters::duplicateOne);
        close(turn, exchange, Settlement.NOT_RUN);
    }

    static void earlierUnknown(Turn turn, Exchange exchange) {
        String detail = "An earlier request with the same idempotency key may have run.";
        unknown(turn, exchange, CONFLICT, new EndReason("earlier_outcome_unknown", false, detail));
    }

    /** Ends a request that failed, as truthfully as can be: not run only if that is proved. */
    static void fail(Turn turn, Exchange exchange, EndReason why) {
        if (exchange.mayHaveRun()) {
            unknown(turn, exchange, why.timeout() ? GATEWAY_TIMEOUT : BAD_GATEWAY, why);
            return;
        }
        refuse(turn, exchange, new Refusal(why.reason(), turn.spread(RETRY_AFTER_MS)));
    }

    /** Ends a request whose caller has left and which needs no answer. */
    static void abandoned(Turn turn, Exchange exchange) {
        close(turn, exchange, exchange.mayHaveRun() ? Settlement.UNKNOWN : Settlement.NOT_RUN);
    }

    private static void unknown(Turn turn, Exchange exchange, int status, EndReason why) {
        int error = exchange.history().errorOf();
        if (error > 0 && !exchange.callerGone()) {
            turn.effect(new RequestEffect.Relay(exchange.id(), error));
            turn.decide(exchange, Decision.Kind.ERROR_PASSED_ON, Optional.empty(), why.reason());
            answered(turn, exchange);
            return;
        }
        if (!exchange.callerGone()) {
            turn.effect(
                    new RequestEffect.Respond(exchange.id(), Outcome.UNKNOWN, status, 0, why.reason(), why.detail()));
        }
        turn.decide(
                exchange,
                Decision.Kind.UNKNOWN,
                Optional.empty(),
                why.reason(),
                Map.of("status", status, "seen", why.detail()));
        turn.count(c -> c.unknownOne(why.reason()));
        close(turn, exchange, Settlement.UNKNOWN);
    }

    private static RequestEffect respond(RequestId id, Refusal refusal) {
        return new RequestEffect.Respond(
                id, Outcome.NOT_RUN, refusal.status(), refusal.retryAfterMs(), refusal.reason(), NOT_RUN_DETAIL);
    }

    /** What a refusal was decided by: how many servers there are, in which state, and how many requests wait. */
    private static Map<String, Object> inputs(Turn turn, Exchange exchange, Refusal refusal) {
        String service = exchange.route().service();
        int listed = 0;
        int suspected = 0;
        int leaving = 0;
        int busy = 0;
        for (Server server : turn.state().fleet().servers().values()) {
            if (!server.backend().service().equals(service) || !server.listed()) {
                continue;
            }
            listed++;
            busy += server.inFlight();
            suspected += server.health().suspected(turn.nowMs()) ? 1 : 0;
            leaving += turn.state()
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
                "waiting", turn.state().queues().get(service).map(q -> q.size()).getOrElse(0));
        return inputs;
    }

    private static void close(Turn turn, Exchange exchange, Settlement settlement) {
        RequestQueues.remove(turn, exchange);
        turn.forget(exchange.id());
        turn.effect(new RequestEffect.Release(exchange.id()));
        exchange.claim().forEach(key -> turn.raise(new ClaimEvent.Settled(exchange.id(), key, settlement)));
    }
}
