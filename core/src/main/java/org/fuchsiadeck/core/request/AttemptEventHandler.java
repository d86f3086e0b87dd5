package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Handles the data path's events for the current attempt of a request.
 */
final class AttemptEventHandler {
    private static final int MIN_ERROR_STATUS = 400;

    private AttemptEventHandler() {}

    static void onWriting(RequestReduction reduction, ActiveRequest request, RequestEvent.Writing event) {
        if (!isCurrent(request, event.attempt())) {
            return;
        }
        Attempt attempt = request.attempt().get();
        if (request.stage() == RequestStage.CONNECTING) {
            long due = reduction.nowMs() + RequestTimers.firstByteTimeoutMs(reduction, request);
            RequestTimers.rearm(
                    reduction, request.withAttempt(RequestStage.AWAITING, attempt.withWritten(reduction.nowMs(), due)));
            return;
        }
        reduction.put(request.withAttempt(request.stage(), attempt.withWritten(reduction.nowMs(), attempt.dueMs())));
    }

    static void onAnswerStarted(RequestReduction reduction, ActiveRequest request, RequestEvent.AnswerStarted event) {
        if (!isCurrent(request, event.attempt())) {
            countStale(reduction, event.id(), event.attempt());
            return;
        }
        Attempt attempt = request.attempt().get();
        AttemptAccounting.applyReport(reduction, attempt, event.report(), true);
        ServerSpeeds.observeFirstByte(reduction, attempt);
        AttemptAccounting.recordPromptRead(reduction, request);
        AttemptAccounting.clearSuspicion(reduction, attempt.backend());
        PromptChecks.recordServerAnswer(reduction, attempt);
        if (request.stage() == RequestStage.STREAMING) {
            return;
        }
        if (request.stage() == RequestStage.CANCELLING) {
            reduction.put(request.withAttempt(
                    RequestStage.CANCELLING, attempt.withFirstByte(reduction.nowMs(), attempt.dueMs())));
            return;
        }
        ActiveRequest begun = markBegun(reduction, request, reduction.nowMs());
        long due = request.tokenStream() ? chunkDueMs(reduction, request) : request.deadlineMs();
        ActiveRequest next = begun.withAttempt(RequestStage.STREAMING, attempt.withFirstByte(reduction.nowMs(), due));
        if (request.call().stream()) {
            reduction.emit(new RequestEffect.Relay(event.id(), event.attempt()));
            next = next.with(next.history().withRelay(attempt.backend()));
        }
        RequestTimers.rearm(reduction, next);
    }

    static void onProgressed(RequestReduction reduction, ActiveRequest request, RequestEvent.Progressed event) {
        if (!isCurrent(request, event.attempt()) || request.stage() != RequestStage.STREAMING) {
            return;
        }
        long due = chunkDueMs(reduction, request);
        Attempt attempt = request.attempt().get().withProgress(event.deliveredTokens(), reduction.nowMs(), due);
        ActiveRequest next = reduction.put(request.withAttempt(RequestStage.STREAMING, attempt)
                .with(request.history().withProgress(event.deliveredTokens())));
        PromptChecks.recordProgress(reduction, next);
    }

    static void onAnswerCompleted(
            RequestReduction reduction, ActiveRequest request, RequestEvent.AnswerCompleted event) {
        if (!isCurrent(request, event.attempt())) {
            countStale(reduction, event.id(), event.attempt());
            return;
        }
        Attempt attempt = request.attempt().get();
        AttemptAccounting.applyReport(reduction, attempt, event.report(), event.status() < MIN_ERROR_STATUS);
        if (event.status() < MIN_ERROR_STATUS && request.call().completion().isEmpty()) {
            ServerSpeeds.observeFirstByte(reduction, attempt);
        }
        AttemptAccounting.recordPromptRead(reduction, request);
        ActiveRequest begun = markBegun(reduction, request, attempt.dispatchedMs());
        ActiveRequest completed =
                begun.withAttempt(RequestStage.STREAMING, withFinalProgress(reduction, request, event));
        AttemptAccounting.recordSuccess(reduction, completed);
        PromptChecks.recordServerAnswer(reduction, attempt);
        if (event.status() < MIN_ERROR_STATUS) {
            PromptChecks.recordAnswer(reduction, completed);
        }
        reduction.updateCounters(c -> c.plusRecomputed(attempt.cause(), event.recomputedTokens()));
        if (!request.callerGone()) {
            relayAnswer(reduction, request, event);
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", event.id());
        fields.put("route", request.route().name());
        fields.put("server", attempt.backend().id());
        fields.put("status", event.status());
        fields.put("attempts", request.history().attempts());
        fields.put("first_ms", completed.attempt().get().firstByteLatencyMs());
        fields.put("took_ms", reduction.nowMs() - attempt.dispatchedMs());
        fields.put("delivered", event.deliveredTokens());
        if (!request.parts().isEmpty()) {
            fields.put("parts", request.parts());
        }
        reduction.log(EventCode.REQUEST_ANSWERED, fields);
        RequestFinisher.finishAnswered(reduction, completed.withoutAttempt());
    }

    static void onAttemptFailed(RequestReduction reduction, ActiveRequest request, RequestEvent.AttemptFailed event) {
        if (!isCurrent(request, event.attempt())) {
            return;
        }
        Attempt attempt = request.attempt().get();
        AttemptAccounting.applyReport(reduction, attempt, event.report(), false);
        boolean begun = probablyBegun(request, event.failure());
        ActiveRequest next = begun ? markBegun(reduction, request, attempt.dispatchedMs()) : request;
        Retries.attemptFailed(reduction, next, event.failure());
    }

    /** Counts and logs an answer that belongs to no attempt in progress. */
    static void countStale(RequestReduction reduction, RequestId id, int attempt) {
        reduction.updateCounters(RequestCounters::plusStale);
        reduction.log(EventCode.STALE_ANSWER, id + " attempt " + attempt);
    }

    private static long chunkDueMs(RequestReduction reduction, ActiveRequest request) {
        return reduction.nowMs() + RequestTimers.chunkTimeoutMs(reduction, request);
    }

    private static Attempt withFinalProgress(
            RequestReduction reduction, ActiveRequest request, RequestEvent.AnswerCompleted event) {
        Attempt attempt = request.attempt().get();
        return event.deliveredTokens() > 0
                ? attempt.withProgress(event.deliveredTokens(), reduction.nowMs(), attempt.dueMs())
                : attempt.withFirstByte(reduction.nowMs(), attempt.dueMs());
    }

    private static void relayAnswer(
            RequestReduction reduction, ActiveRequest request, RequestEvent.AnswerCompleted event) {
        boolean stream = request.call().stream();
        boolean relayed = stream && request.stage() == RequestStage.STREAMING;
        if (!relayed) {
            reduction.emit(new RequestEffect.Relay(event.id(), event.attempt()));
        }
        if (stream && (relayed || event.status() < MIN_ERROR_STATUS)) {
            reduction.emit(new RequestEffect.EndStream(event.id()));
        }
    }

    /** Records that a server has begun the request. Later attempts of the same request are not counted again. */
    private static ActiveRequest markBegun(RequestReduction reduction, ActiveRequest request, long atMs) {
        if (request.history().used()) {
            return request;
        }
        reduction.raise(new ShareEvent.Begun(request.call().team(), atMs));
        return reduction.put(request.with(request.history().withUsageReported()));
    }

    /**
     * Returns whether the server has probably begun the request: if a connection closes after the request was written,
     * usually the answer was lost, not the request.
     */
    private static boolean probablyBegun(ActiveRequest request, Failure failure) {
        boolean answerLost =
                failure.kind() == Failure.Kind.CLOSED && request.attempt().get().written();
        return failure.answerAvailable() || answerLost;
    }

    private static boolean isCurrent(ActiveRequest request, int attempt) {
        return request.attempt().exists(a -> a.number() == attempt);
    }
}
