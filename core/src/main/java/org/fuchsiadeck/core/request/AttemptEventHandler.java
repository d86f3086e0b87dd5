package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Takes what the data path reports of the attempt a request waits for.
 */
final class AttemptEventHandler {
    private static final int FIRST_ERROR_STATUS = 400;

    private AttemptEventHandler() {}

    static void onWriting(RequestReduction turn, ActiveRequest exchange, RequestEvent.Writing event) {
        if (!current(exchange, event.attempt())) {
            return;
        }
        Attempt attempt = exchange.attempt().get();
        if (exchange.stage() == RequestStage.CONNECTING) {
            long due = turn.nowMs() + Watchdog.firstByteMs(turn, exchange);
            Watchdog.rearm(turn, exchange.withAttempt(RequestStage.AWAITING, attempt.withWritten(turn.nowMs(), due)));
            return;
        }
        turn.put(exchange.withAttempt(exchange.stage(), attempt.withWritten(turn.nowMs(), attempt.dueMs())));
    }

    static void onAnswerStarted(RequestReduction turn, ActiveRequest exchange, RequestEvent.AnswerStarted event) {
        if (!current(exchange, event.attempt())) {
            countStale(turn, event.id(), event.attempt());
            return;
        }
        Attempt attempt = exchange.attempt().get();
        event.report().ifPresent(r -> AttemptAccounting.applyReport(turn, attempt.backend(), r));
        AttemptAccounting.recordPromptRead(turn, exchange);
        AttemptAccounting.clearSuspicion(turn, attempt.backend());
        if (exchange.stage() == RequestStage.STREAMING) {
            return;
        }
        if (exchange.stage() == RequestStage.CANCELLING) {
            turn.put(exchange.withAttempt(
                    RequestStage.CANCELLING, attempt.withFirstByte(turn.nowMs(), attempt.dueMs())));
            return;
        }
        ActiveRequest begun = begun(turn, exchange, turn.nowMs());
        long due = exchange.tokenStream() ? chunkDueMs(turn, exchange) : exchange.deadlineMs();
        ActiveRequest next = begun.withAttempt(RequestStage.STREAMING, attempt.withFirstByte(turn.nowMs(), due));
        if (exchange.call().stream()) {
            turn.emit(new RequestEffect.Relay(event.id(), event.attempt()));
            next = next.with(next.history().relayed(attempt.backend()));
        }
        Watchdog.rearm(turn, next);
    }

    static void onProgressed(RequestReduction turn, ActiveRequest exchange, RequestEvent.Progressed event) {
        if (!current(exchange, event.attempt()) || exchange.stage() != RequestStage.STREAMING) {
            return;
        }
        long due = chunkDueMs(turn, exchange);
        Attempt attempt = exchange.attempt().get().withProgress(event.delivered(), turn.nowMs(), due);
        turn.put(exchange.withAttempt(RequestStage.STREAMING, attempt)
                .with(exchange.history().progressed(event.delivered())));
    }

    static void onAnswerCompleted(RequestReduction turn, ActiveRequest exchange, RequestEvent.AnswerCompleted event) {
        if (!current(exchange, event.attempt())) {
            countStale(turn, event.id(), event.attempt());
            return;
        }
        Attempt attempt = exchange.attempt().get();
        event.report().ifPresent(r -> AttemptAccounting.applyReport(turn, attempt.backend(), r));
        AttemptAccounting.recordPromptRead(turn, exchange);
        ActiveRequest begun = begun(turn, exchange, attempt.dispatchedMs());
        ActiveRequest last = begun.withAttempt(RequestStage.STREAMING, finished(turn, exchange, event));
        AttemptAccounting.recordSuccess(turn, last);
        turn.updateCounters(c -> c.plusRecomputed(attempt.cause(), event.recomputed()));
        if (!exchange.callerGone()) {
            passOn(turn, exchange, event);
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", event.id());
        fields.put("route", exchange.route().name());
        fields.put("server", attempt.backend().id());
        fields.put("status", event.status());
        fields.put("attempts", exchange.history().attempts());
        fields.put("first_ms", last.attempt().get().firstByteLatencyMs());
        fields.put("took_ms", turn.nowMs() - attempt.dispatchedMs());
        fields.put("delivered", event.delivered());
        turn.log(EventCode.REQUEST_ANSWERED, fields);
        RequestFinisher.finishAnswered(turn, last.withoutAttempt());
    }

    static void onAttemptFailed(RequestReduction turn, ActiveRequest exchange, RequestEvent.AttemptFailed event) {
        if (!current(exchange, event.attempt())) {
            return;
        }
        Attempt attempt = exchange.attempt().get();
        event.report().ifPresent(r -> AttemptAccounting.applyReport(turn, attempt.backend(), r));
        boolean begun = probablyBegun(exchange, event.failure());
        ActiveRequest next = begun ? begun(turn, exchange, attempt.dispatchedMs()) : exchange;
        Retries.failed(turn, next, event.failure());
    }

    /** Counts an answer that belongs to no request in progress. */
    static void countStale(RequestReduction turn, RequestId id, int attempt) {
        turn.updateCounters(RequestCounters::plusStale);
        turn.log(EventCode.STALE_ANSWER, id + " attempt " + attempt);
    }

    private static long chunkDueMs(RequestReduction turn, ActiveRequest exchange) {
        return turn.nowMs() + Watchdog.chunkMs(turn, exchange);
    }

    private static Attempt finished(RequestReduction turn, ActiveRequest exchange, RequestEvent.AnswerCompleted event) {
        Attempt attempt = exchange.attempt().get();
        return event.delivered() > 0
                ? attempt.withProgress(event.delivered(), turn.nowMs(), attempt.dueMs())
                : attempt.withFirstByte(turn.nowMs(), attempt.dueMs());
    }

    private static void passOn(RequestReduction turn, ActiveRequest exchange, RequestEvent.AnswerCompleted event) {
        boolean stream = exchange.call().stream();
        boolean relayed = stream && exchange.stage() == RequestStage.STREAMING;
        if (!relayed) {
            turn.emit(new RequestEffect.Relay(event.id(), event.attempt()));
        }
        if (stream && (relayed || event.status() < FIRST_ERROR_STATUS)) {
            turn.emit(new RequestEffect.EndStream(event.id()));
        }
    }

    /** Notes that a server has begun a request; one that goes on elsewhere, or runs once more, is not counted again. */
    private static ActiveRequest begun(RequestReduction turn, ActiveRequest exchange, long atMs) {
        if (exchange.history().used()) {
            return exchange;
        }
        turn.raise(new ShareEvent.Begun(exchange.call().team(), atMs));
        return turn.put(exchange.with(exchange.history().use()));
    }

    /** A connection that closes after the request was written mostly shows that the answer was lost, not the request. */
    private static boolean probablyBegun(ActiveRequest exchange, Failure failure) {
        boolean lost = failure.kind() == Failure.Kind.CLOSED
                && exchange.attempt().get().written();
        return failure.answered() || lost;
    }

    private static boolean current(ActiveRequest exchange, int attempt) {
        return exchange.attempt().exists(a -> a.number() == attempt);
    }
}
