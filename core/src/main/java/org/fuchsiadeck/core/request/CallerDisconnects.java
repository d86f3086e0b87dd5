package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.EventCode;

/**
 * Takes a caller's leaving.
 */
final class CallerDisconnects {
    private CallerDisconnects() {}

    /**
     * Ends a request that nobody waits for. One that may run only once and was written goes on, so that its claim can
     * be settled with what came of it.
     */
    static void handle(Turn turn, Exchange exchange) {
        if (exchange.callerGone()) {
            return;
        }
        turn.count(Counters::callerGoneOne);
        turn.log(EventCode.CALLER_GONE, exchange.id() + " " + exchange.stage());
        Exchange gone = turn.keep(exchange.gone());
        if (exchange.attempt().isEmpty()) {
            Ending.abandoned(turn, gone);
            return;
        }
        boolean useless = exchange.idempotent() || exchange.route().terms().stream();
        if (useless) {
            cancel(turn, gone);
            Attempts.dropped(turn, gone);
            Ending.abandoned(turn, gone.idle());
            return;
        }
        if (exchange.stage() == Stage.CONNECTING) {
            cancel(turn, gone);
            RequestTimers.awaitCancellation(turn, gone);
        }
    }

    private static void cancel(Turn turn, Exchange exchange) {
        if (exchange.stage() != Stage.CANCELLING) {
            int attempt = exchange.attempt().get().number();
            turn.effect(new RequestEffect.Cancel(exchange.id(), attempt));
        }
    }
}
