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
    static void onCallerGone(RequestReduction reduction, ActiveRequest request, RequestEvent.CallerGone event) {
        if (request.callerGone() || event.isUrgent() && mayBeWrittenUnnoticed(request)) {
            return;
        }
        reduction.updateCounters(RequestCounters::plusCallerGone);
        reduction.log(EventCode.CALLER_GONE, request.id() + " " + request.stage());
        ActiveRequest disconnected = reduction.put(request.withCallerGone());
        if (request.attempt().isEmpty()) {
            RequestFinisher.abandon(reduction, disconnected);
            return;
        }
        boolean cancellable = request.idempotent() || request.route().terms().stream();
        if (cancellable) {
            cancel(reduction, disconnected);
            AttemptAccounting.recordAbandoned(reduction, disconnected);
            RequestFinisher.abandon(reduction, disconnected.withoutAttempt());
            return;
        }
        if (request.stage() == RequestStage.CONNECTING) {
            cancel(reduction, disconnected);
            RequestTimers.awaitCancellation(reduction, disconnected);
        }
    }

    /**
     * Returns whether the event that a request which must not run twice is written may still be queued. An urgent event
     * can't tell; the one that keeps the order is handled after it.
     */
    private static boolean mayBeWrittenUnnoticed(ActiveRequest request) {
        return !request.idempotent() && request.attempt().exists(a -> !a.written());
    }

    private static void cancel(RequestReduction reduction, ActiveRequest request) {
        if (request.stage() != RequestStage.CANCELLING) {
            int attempt = request.attempt().get().number();
            reduction.emit(new RequestEffect.Cancel(request.id(), attempt));
        }
    }
}
