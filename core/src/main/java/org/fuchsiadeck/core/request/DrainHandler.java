package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;

/**
 * Shuts an entry node down gracefully: new requests are refused, and those in progress end or get a final answer before
 * the notice period is over.
 */
final class DrainHandler {
    /** Final answers are given this long before the end of the notice period, or a tenth of it before if less. */
    private static final long MARGIN_MS = 500;

    private static final int MARGIN_DIVISOR = 10;

    private DrainHandler() {}

    static void onStopRequested(RequestReduction reduction, long noticeMs) {
        boolean first = reduction.state().drain().isEmpty();
        long endMs = reduction.nowMs() + noticeMs;
        if (!first && reduction.state().drain().get().endMs() <= endMs) {
            return;
        }
        if (first) {
            reduction.log(
                    EventCode.NODE_DRAINING,
                    noticeMs + " ms of notice, " + reduction.state().open().size() + " requests in progress");
        }
        boolean stopped = !first && reduction.state().drain().get().stopped();
        reduction.state(reduction.state().with(new DrainState(endMs, stopped)));
        long margin = Math.min(MARGIN_MS, noticeMs / MARGIN_DIVISOR);
        reduction.schedule(endMs - margin, new RequestReducerEvent.DrainDue());
    }

    /** Gives each request that is still in progress its final answer. */
    static void onDrainDue(RequestReduction reduction) {
        for (ActiveRequest request : reduction.state().open().values()) {
            if (request.attempt().isDefined()) {
                RequestTimers.cancelAndFail(reduction, request, EndReason.DRAINING);
            } else {
                RequestFinisher.fail(reduction, request, EndReason.DRAINING);
            }
        }
    }

    /** Requests the end of the process once, after the last request has ended and its claim is settled. */
    static void finishIfIdle(RequestReduction reduction) {
        boolean over = reduction.state().drain().exists(d -> !d.stopped())
                && reduction.state().open().isEmpty();
        if (over) {
            reduction.state(reduction
                    .state()
                    .with(new DrainState(reduction.state().drain().get().endMs(), true)));
            reduction.raise(new RequestReducerEvent.Drained());
        }
    }

    static void onDrained(RequestReduction reduction) {
        reduction.emit(new Effect.Stop());
    }
}
