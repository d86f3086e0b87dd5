package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;

/**
 * Ends the node's work gracefully: no new request is taken, everything in progress ends or gets its final answer before
 * the notice is over.
 */
final class Draining {
    private static final long MARGIN_MS = 500;
    private static final int MARGIN_PART = 10;

    private Draining() {}

    static void requested(Turn turn, long noticeMs) {
        boolean first = turn.state().drain().isEmpty();
        long endMs = turn.nowMs() + noticeMs;
        if (!first && turn.state().drain().get().endMs() <= endMs) {
            return;
        }
        if (first) {
            turn.log(
                    EventCode.NODE_DRAINING,
                    noticeMs + " ms, " + turn.state().open().size() + " in progress");
        }
        boolean stopped = !first && turn.state().drain().get().stopped();
        turn.state(turn.state().with(new Drain(endMs, stopped)));
        long margin = Math.min(MARGIN_MS, noticeMs / MARGIN_PART);
        turn.schedule(endMs - margin, new NodeWorkEvent.DrainDue());
    }

    /** Gives what can't end in time its final answer. */
    static void due(Turn turn) {
        for (Exchange exchange : turn.state().open().values()) {
            if (exchange.attempt().isDefined()) {
                RequestTimers.cancelAndFail(turn, exchange, EndReason.DRAINING);
            } else {
                Ending.fail(turn, exchange, EndReason.DRAINING);
            }
        }
    }

    /** Orders the end of the process once, after the last request's claim was settled. */
    static void check(Turn turn) {
        boolean over = turn.state().drain().exists(d -> !d.stopped())
                && turn.state().open().isEmpty();
        if (over) {
            turn.state(turn.state().with(new Drain(turn.state().drain().get().endMs(), true)));
            turn.raise(new NodeWorkEvent.Drained());
        }
    }

    static void over(Turn turn) {
        turn.effect(new Effect.Stop());
    }
}
