package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;

/**
 * Watches the times of a request. An attempt has one timer, which is set again when it fires too early, so that
 * progress sets none.
 */
final class RequestTimers {
    /** A timer that fires later than this shows that the node was paused, and answers may wait to be read. */
    private static final long LATE_MS = 250;

    /** Targets after which the first byte of an answer is no longer expected from a server that may be replaced. */
    private static final double FIRST_BYTE_TARGETS = 3;

    /** A server that is merely busy answers a plain request within this time. */
    private static final long MIN_PATIENCE_MS = 400;

    /** An engine that reads a long prompt pauses the streams beside it for less. */
    private static final long MAX_PAUSE_MS = 1_500;

    private static final long CANCEL_TIMEOUT_MS = 1_000;
    private static final double UNKNOWN_TOKEN_MS = 100;
    private static final int TOKEN_TIME_MARGIN = 4;

    private RequestTimers() {}

    static void fired(Turn turn, Exchange exchange, TimerFired event) {
        if (event.timer() == Timer.DEADLINE) {
            deadline(turn, exchange);
            return;
        }
        if (!exchange.attempt().exists(a -> a.number() == event.attempt())) {
            return;
        }
        if (event.timer() == Timer.LEAVING) {
            Departures.finishOrMove(turn, exchange);
            return;
        }
        overdue(turn, exchange);
    }

    /** Keeps a request whose attempt is due at another time, and sets its timer if that is earlier. */
    static Exchange rearm(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        if (attempt.dueMs() >= attempt.armedMs() && attempt.armedMs() > turn.nowMs()) {
            return turn.keep(exchange);
        }
        turn.schedule(attempt.dueMs(), new TimerFired(exchange.id(), timer(exchange.stage()), attempt.number()));
        return turn.keep(exchange.at(exchange.stage(), attempt.armed(attempt.dueMs())));
    }

    /** Keeps a request whose attempt was cancelled until the data path says how far it came. */
    static void awaitCancellation(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get().due(turn.nowMs() + CANCEL_TIMEOUT_MS);
        rearm(turn, exchange.at(Stage.CANCELLING, attempt));
    }

    /** Returns the longest wait for the first byte. A whole completion begins when its last token is computed. */
    static long firstByteTimeoutMs(Turn turn, Exchange exchange) {
        Backend backend = exchange.attempt().get().backend();
        long timeout = Math.min(Policies.of(turn, exchange, backend).firstByteTimeoutMs(), patienceMs(exchange));
        if (exchange.call().stream() || exchange.call().completion().isEmpty()) {
            return timeout;
        }
        ServiceLoad load = turn.state().loads().getOrElse(exchange.route().service(), ServiceLoad.NONE);
        double tokenMs = load.tokenMs() > 0 ? load.tokenMs() * TOKEN_TIME_MARGIN : UNKNOWN_TOKEN_MS;
        int tokens = exchange.call().completion().get().maxTokens();
        return timeout + Math.round(tokens * tokenMs);
    }

    static long chunkTimeoutMs(Turn turn, Exchange exchange) {
        Backend backend = exchange.attempt().get().backend();
        long timeout = Policies.of(turn, exchange, backend).chunkTimeoutMs();
        return patienceMs(exchange) == Long.MAX_VALUE ? timeout : Math.min(timeout, MAX_PAUSE_MS);
    }

    /** How long to wait where another server may be asked: callers expect the answer within the route's target. */
    private static long patienceMs(Exchange exchange) {
        long target = exchange.route().terms().targetMs();
        boolean another = exchange.idempotent() && target > 0;
        return another ? Math.max(MIN_PATIENCE_MS, Math.round(target * FIRST_BYTE_TARGETS)) : Long.MAX_VALUE;
    }

    private static void overdue(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        long now = turn.nowMs();
        if (attempt.armedMs() > now) {
            return;
        }
        if (attempt.dueMs() > now) {
            rearm(turn, exchange);
            return;
        }
        if (now - attempt.dueMs() > LATE_MS) {
            rearm(turn, exchange.at(exchange.stage(), attempt.due(now + LATE_MS)));
            return;
        }
        expired(turn, exchange);
    }

    private static void expired(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        switch (exchange.stage()) {
            case CONNECTING -> {
                turn.effect(new RequestEffect.Cancel(exchange.id(), attempt.number()));
                awaitCancellation(turn, exchange);
            }
            case CANCELLING -> Retries.attemptFailed(turn, exchange, timeout(attempt, Failure.Step.AWAITING));
            default -> {
                boolean patient = patienceMs(exchange) < Long.MAX_VALUE;
                if (patient && !Retries.canRetryElsewhere(turn, exchange)) {
                    rearm(turn, exchange.at(exchange.stage(), attempt.due(turn.nowMs() + MIN_PATIENCE_MS)));
                    return;
                }
                turn.effect(new RequestEffect.Cancel(exchange.id(), attempt.number()));
                boolean awaiting = exchange.stage() == Stage.AWAITING;
                Retries.attemptFailed(
                        turn, exchange, timeout(attempt, awaiting ? Failure.Step.AWAITING : Failure.Step.STREAMING));
            }
        }
    }

    private static void deadline(Turn turn, Exchange exchange) {
        if (turn.nowMs() < exchange.deadlineMs()) {
            return;
        }
        if (exchange.attempt().isEmpty()) {
            Ending.fail(turn, exchange, EndReason.DEADLINE);
            return;
        }
        cancelAndFail(turn, exchange, EndReason.DEADLINE);
    }

    /** Cancels the attempt and gives the final answer at once. */
    static void cancelAndFail(Turn turn, Exchange exchange, EndReason why) {
        Attempt attempt = exchange.attempt().get();
        if (exchange.stage() != Stage.CANCELLING) {
            turn.effect(new RequestEffect.Cancel(exchange.id(), attempt.number()));
        }
        boolean slow =
                (turn.nowMs() - attempt.dispatchedMs()) * 2 >= exchange.route().deadlineMs();
        if (attempt.written() && why.timeout() && slow) {
            Attempts.failed(turn, exchange, timeout(attempt, Failure.Step.STREAMING));
        } else {
            Attempts.dropped(turn, exchange);
        }
        Exchange idle = exchange.idle();
        Ending.fail(turn, idle.with(idle.history().abandoned(Cause.RETRY)), why);
    }

    private static Failure timeout(Attempt attempt, Failure.Step step) {
        return new Failure(
                step, Failure.Kind.TIMEOUT, attempt.backend().address().toString(), "nothing came in time");
    }

    private static Timer timer(Stage stage) {
        return switch (stage) {
            case AWAITING -> Timer.FIRST_BYTE;
            case STREAMING -> Timer.CHUNK;
            default -> Timer.CONNECT;
        };
    }
}
