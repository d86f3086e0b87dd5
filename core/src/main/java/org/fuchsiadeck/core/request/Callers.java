package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.EventCode;

/**
 * Takes a caller's leaving.
 */
final class Callers {
    private Callers() {}

    /**
     * Ends a request that nobody waits for. One that may run only once and was written goes on, so that its claim can
     * be settled with what came of it.
     */
    static void gone(RequestReduction turn, ActiveRequest exchange) {
        if (exchange.callerGone()) {
            return;
        }
        turn.updateCounters(RequestCounters::plusCallerGone);
        turn.log(EventCode.CALLER_GONE, exchange.id() + " " + exchange.stage());
        ActiveRequest gone = turn.put(exchange.withCallerGone());
        if (exchange.attempt().isEmpty()) {
            RequestFinisher.abandon(turn, gone);
            return;
        }
        boolean useless = exchange.idempotent() || exchange.route().terms().stream();
        if (useless) {
            cancel(turn, gone);
            AttemptAccounting.recordAbandoned(turn, gone);
            RequestFinisher.abandon(turn, gone.withoutAttempt());
            return;
        }
        if (exchange.stage() == RequestStage.CONNECTING) {
            cancel(turn, gone);
            Watchdog.cancelled(turn, gone);
        }
    }

    private static void cancel(RequestReduction turn, ActiveRequest exchange) {
        if (exchange.stage() != RequestStage.CANCELLING) {
            int attempt = exchange.attempt().get().number();
            turn.emit(new RequestEffect.Cancel(exchange.id(), attempt));
        }
    }
}
