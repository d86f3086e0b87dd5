package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.EventCode;

/**
 * Handles callers that close their connection before their request has ended.
 */
final class CallerDisconnects {
    private CallerDisconnects() {}

    /**
     * Ends a request whose caller has disconnected. A request that is not idempotent, takes no stream and was written
     * continues, so that its idempotency claim can be settled with the actual outcome.
     */
    static void onCallerGone(Turn reduction, Exchange request) {
        if (request.callerGone()) {
            return;
        }
        reduction.count(Counters::callerGoneOne);
        reduction.log(EventCode.CALLER_GONE, request.id() + " " + request.stage());
        Exchange disconnected = reduction.keep(request.gone());
        if (request.attempt().isEmpty()) {
            Ending.abandoned(reduction, disconnected);
            return;
        }
        boolean cancellable = request.idempotent() || request.route().terms().stream();
        if (cancellable) {
            cancel(reduction, disconnected);
            Attempts.dropped(reduction, disconnected);
            Ending.abandoned(reduction, disconnected.idle());
            return;
        }
        if (request.stage() == Stage.CONNECTING) {
            cancel(reduction, disconnected);
            RequestTimers.awaitCancellation(reduction, disconnected);
        }
    }

    private static void cancel(Turn reduction, Exchange request) {
        if (request.stage() != Stage.CANCELLING) {
            int attempt = request.attempt().get().number();
            reduction.effect(new RequestEffect.Cancel(request.id(), attempt));
        }
    }
}
