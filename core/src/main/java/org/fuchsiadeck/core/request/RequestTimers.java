package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;

/**
 * Handles the deadline and the timeouts of requests. Each attempt has a single timer. Progress only moves the due time;
 * a timer that fires before the due time is scheduled again, so that progress schedules no timers.
 */
final class RequestTimers {
    /** Timer delay above which the node is assumed to have been paused, so that received answers may be unread. */
    private static final long MAX_TIMER_DELAY_MS = 250;

    /** Timeout for the first byte of a request that can be retried, as a multiple of the route's latency target. */
    private static final double FIRST_BYTE_TARGET_FACTOR = 3;

    /**
     * Least timeout for the first byte of a request that can be retried, and its extension while no other server can
     * take the request. A server that is merely busy answers a plain request within this time.
     */
    private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 400;

    /**
     * Timeout for the next chunk of a stream that can be retried. An engine that reads a long prompt stalls its other
     * streams for less than this.
     */
    private static final long RETRYABLE_CHUNK_TIMEOUT_MS = 1_500;

    private static final long CANCEL_TIMEOUT_MS = 1_000;

    /** Time per token that is assumed before any was measured. */
    private static final double DEFAULT_TOKEN_MS = 100;

    private static final int TOKEN_TIME_FACTOR = 4;

    private RequestTimers() {}

    static void onTimerFired(RequestReduction reduction, ActiveRequest request, TimerFired event) {
        if (event.timer() == Timer.DEADLINE) {
            deadlineReached(reduction, request);
            return;
        }
        if (!request.attempt().exists(a -> a.number() == event.attempt())) {
            return;
        }
        if (event.timer() == Timer.LEAVING) {
            Departures.finishOrMove(reduction, request);
            return;
        }
        attemptTimerFired(reduction, request);
    }

    /** Stores a request whose attempt has a new due time. Schedules a timer unless one fires before that time. */
    static ActiveRequest rearm(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        if (attempt.dueMs() >= attempt.armedMs() && attempt.armedMs() > reduction.nowMs()) {
            return reduction.put(request);
        }
        reduction.schedule(attempt.dueMs(), new TimerFired(request.id(), timer(request.stage()), attempt.number()));
        return reduction.put(request.withAttempt(request.stage(), attempt.withTimer(attempt.dueMs())));
    }

    /** Stores a request whose attempt was cancelled, until the data path reports how far the attempt got. */
    static void awaitCancellation(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get().withDue(reduction.nowMs() + CANCEL_TIMEOUT_MS);
        rearm(reduction, request.withAttempt(RequestStage.CANCELLING, attempt));
    }

    /**
     * Returns the timeout for the first byte, in milliseconds. The answer to a completion that is not streamed begins
     * only when its last token has been computed.
     */
    static long firstByteTimeoutMs(RequestReduction reduction, ActiveRequest request) {
        Backend backend = request.attempt().get().backend();
        long timeout =
                Math.min(Policies.of(reduction, request, backend).firstByteTimeoutMs(), retryableTimeoutMs(request));
        if (request.call().stream() || request.call().completion().isEmpty()) {
            return timeout;
        }
        ServiceLoad load = reduction.state().loads().getOrElse(request.route().service(), ServiceLoad.NONE);
        double tokenMs = load.tokenMs() > 0 ? load.tokenMs() * TOKEN_TIME_FACTOR : DEFAULT_TOKEN_MS;
        int tokens = request.call().completion().get().maxTokens();
        return timeout + Math.round(tokens * tokenMs);
    }

    /** Returns the timeout for the next chunk of a stream, in milliseconds. */
    static long chunkTimeoutMs(RequestReduction reduction, ActiveRequest request) {
        Backend backend = request.attempt().get().backend();
        long timeout = Policies.of(reduction, request, backend).chunkTimeoutMs();
        return retryableTimeoutMs(request) == Long.MAX_VALUE ? timeout : Math.min(timeout, RETRYABLE_CHUNK_TIMEOUT_MS);
    }

    /**
     * Returns the timeout for a request that can be retried at another server, in milliseconds; {@link Long#MAX_VALUE}
     * for other requests. It depends on the route's latency target, within which callers expect the answer.
     */
    private static long retryableTimeoutMs(ActiveRequest request) {
        long target = request.route().terms().targetMs();
        boolean retryable = request.idempotent() && target > 0;
        return retryable
                ? Math.max(MIN_FIRST_BYTE_TIMEOUT_MS, Math.round(target * FIRST_BYTE_TARGET_FACTOR))
                : Long.MAX_VALUE;
    }

    private static void attemptTimerFired(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        long now = reduction.nowMs();
        if (attempt.armedMs() > now) {
            return;
        }
        if (attempt.dueMs() > now) {
            rearm(reduction, request);
            return;
        }
        if (now - attempt.dueMs() > MAX_TIMER_DELAY_MS) {
            rearm(reduction, request.withAttempt(request.stage(), attempt.withDue(now + MAX_TIMER_DELAY_MS)));
            return;
        }
        expired(reduction, request);
    }

    private static void expired(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        switch (request.stage()) {
            case CONNECTING -> {
                reduction.emit(new RequestEffect.Cancel(request.id(), attempt.number()));
                awaitCancellation(reduction, request);
            }
            case CANCELLING -> Retries.attemptFailed(reduction, request, timeout(attempt, Failure.Step.AWAITING));
            default -> {
                boolean retryable = retryableTimeoutMs(request) < Long.MAX_VALUE;
                if (retryable && !Retries.canRetryElsewhere(reduction, request)) {
                    rearm(
                            reduction,
                            request.withAttempt(
                                    request.stage(), attempt.withDue(reduction.nowMs() + MIN_FIRST_BYTE_TIMEOUT_MS)));
                    return;
                }
                reduction.emit(new RequestEffect.Cancel(request.id(), attempt.number()));
                boolean awaiting = request.stage() == RequestStage.AWAITING;
                Retries.attemptFailed(
                        reduction,
                        request,
                        timeout(attempt, awaiting ? Failure.Step.AWAITING : Failure.Step.STREAMING));
            }
        }
    }

    private static void deadlineReached(RequestReduction reduction, ActiveRequest request) {
        if (reduction.nowMs() < request.deadlineMs()) {
            SharedOrder.refuseIfLate(reduction, request);
            return;
        }
        if (request.attempt().isEmpty()) {
            RequestFinisher.fail(reduction, request, EndReason.DEADLINE);
            return;
        }
        cancelAndFail(reduction, request, EndReason.DEADLINE);
    }

    /** Cancels the attempt and ends the request with its final answer. */
    static void cancelAndFail(RequestReduction reduction, ActiveRequest request, EndReason why) {
        Attempt attempt = request.attempt().get();
        if (request.stage() != RequestStage.CANCELLING) {
            reduction.emit(new RequestEffect.Cancel(request.id(), attempt.number()));
        }
        boolean slow = (reduction.nowMs() - attempt.dispatchedMs()) * 2
                >= request.route().deadlineMs();
        if (attempt.written() && why.timeout() && slow) {
            AttemptAccounting.recordFailure(reduction, request, timeout(attempt, Failure.Step.STREAMING));
        } else {
            AttemptAccounting.recordAbandoned(reduction, request);
        }
        ActiveRequest idle = request.withoutAttempt();
        RequestFinisher.fail(reduction, idle.with(idle.history().withAbandoned(DispatchCause.RETRY)), why);
    }

    private static Failure timeout(Attempt attempt, Failure.Step step) {
        return new Failure(
                step,
                Failure.Kind.TIMEOUT,
                attempt.backend().address().toString(),
                "no data received within the timeout");
    }

    private static Timer timer(RequestStage stage) {
        return switch (stage) {
            case AWAITING -> Timer.FIRST_BYTE;
            case STREAMING -> Timer.CHUNK;
            default -> Timer.CONNECT;
        };
    }
}
