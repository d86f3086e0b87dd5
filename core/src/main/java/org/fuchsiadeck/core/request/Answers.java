package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Takes what the data path reports of the attempt a request waits for.
 */
final class Answers {
    private static final int FIRST_ERROR_STATUS = 400;

    private Answers() {}

    static void writing(Turn turn, Exchange exchange, RequestEvent.Writing event) {
        if (!current(exchange, event.attempt())) {
            return;
        }
        Attempt attempt = exchange.attempt().get();
        if (exchange.stage() == Stage.CONNECTING) {
            long due = turn.nowMs() + RequestTimers.firstByteTimeoutMs(turn, exchange);
            RequestTimers.rearm(turn, exchange.at(Stage.AWAITING, attempt.markWritten(turn.nowMs(), due)));
            return;
        }
        turn.keep(exchange.at(exchange.stage(), attempt.markWritten(turn.nowMs(), attempt.dueMs())));
    }

    static void started(Turn turn, Exchange exchange, RequestEvent.AnswerStarted event) {
        if (!current(exchange, event.attempt())) {
            stale(turn, event.id(), event.attempt());
            return;
        }
        Attempt attempt = exchange.attempt().get();
        event.report().ifPresent(r -> Attempts.reported(turn, attempt.backend(), r));
        Attempts.read(turn, exchange);
        Attempts.answering(turn, attempt.backend());
        if (exchange.stage() == Stage.STREAMING) {
            return;
        }
        if (exchange.stage() == Stage.CANCELLING) {
            turn.keep(exchange.at(Stage.CANCELLING, attempt.answered(turn.nowMs(), attempt.dueMs())));
            return;
        }
        Exchange begun = begun(turn, exchange, turn.nowMs());
        long due = exchange.tokenStream() ? chunkDueMs(turn, exchange) : exchange.deadlineMs();
        Exchange next = begun.at(Stage.STREAMING, attempt.answered(turn.nowMs(), due));
        if (exchange.call().stream()) {
            turn.effect(new RequestEffect.Relay(event.id(), event.attempt()));
            next = next.with(next.history().withRelay(attempt.backend()));
        }
        RequestTimers.rearm(turn, next);
    }

    static void progressed(Turn turn, Exchange exchange, RequestEvent.Progressed event) {
        if (!current(exchange, event.attempt()) || exchange.stage() != Stage.STREAMING) {
            return;
        }
        long due = chunkDueMs(turn, exchange);
        Attempt attempt = exchange.attempt().get().progressed(event.deliveredTokens(), turn.nowMs(), due);
        turn.keep(exchange.at(Stage.STREAMING, attempt).with(exchange.history().withProgress(event.deliveredTokens())));
    }

    static void completed(Turn turn, Exchange exchange, RequestEvent.AnswerCompleted event) {
        if (!current(exchange, event.attempt())) {
            stale(turn, event.id(), event.attempt());
            return;
        }
        Attempt attempt = exchange.attempt().get();
        event.report().ifPresent(r -> Attempts.reported(turn, attempt.backend(), r));
        Attempts.read(turn, exchange);
        Exchange begun = begun(turn, exchange, attempt.dispatchedMs());
        Exchange last = begun.at(Stage.STREAMING, finished(turn, exchange, event));
        Attempts.good(turn, last);
        turn.count(c -> c.recomputed(attempt.cause(), event.recomputedTokens()));
        if (!exchange.callerGone()) {
            passOn(turn, exchange, event);
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", event.id());
        fields.put("route", exchange.route().name());
        fields.put("server", attempt.backend().id());
        fields.put("status", event.status());
        fields.put("attempts", exchange.history().attempts());
        fields.put("first_ms", last.attempt().get().waitMs());
        fields.put("took_ms", turn.nowMs() - attempt.dispatchedMs());
        fields.put("delivered", event.deliveredTokens());
        turn.log(EventCode.REQUEST_ANSWERED, fields);
        Ending.answered(turn, last.idle());
    }

    static void failed(Turn turn, Exchange exchange, RequestEvent.AttemptFailed event) {
        if (!current(exchange, event.attempt())) {
            return;
        }
        Attempt attempt = exchange.attempt().get();
        event.report().ifPresent(r -> Attempts.reported(turn, attempt.backend(), r));
        boolean begun = probablyBegun(exchange, event.failure());
        Exchange next = begun ? begun(turn, exchange, attempt.dispatchedMs()) : exchange;
        Retries.attemptFailed(turn, next, event.failure());
    }

    /** Counts an answer that belongs to no request in progress. */
    static void stale(Turn turn, RequestId id, int attempt) {
        turn.count(Counters::staleOne);
        turn.log(EventCode.STALE_ANSWER, id + " attempt " + attempt);
    }

    private static long chunkDueMs(Turn turn, Exchange exchange) {
        return turn.nowMs() + RequestTimers.chunkTimeoutMs(turn, exchange);
    }

    private static Attempt finished(Turn turn, Exchange exchange, RequestEvent.AnswerCompleted event) {
        Attempt attempt = exchange.attempt().get();
        return event.deliveredTokens() > 0
                ? attempt.progressed(event.deliveredTokens(), turn.nowMs(), attempt.dueMs())
                : attempt.answered(turn.nowMs(), attempt.dueMs());
    }

    private static void passOn(Turn turn, Exchange exchange, RequestEvent.AnswerCompleted event) {
        boolean stream = exchange.call().stream();
        boolean relayed = stream && exchange.stage() == Stage.STREAMING;
        if (!relayed) {
            turn.effect(new RequestEffect.Relay(event.id(), event.attempt()));
        }
        if (stream && (relayed || event.status() < FIRST_ERROR_STATUS)) {
            turn.effect(new RequestEffect.EndStream(event.id()));
        }
    }

    /** Notes that a server has begun a request; one that goes on elsewhere, or runs once more, is not counted again. */
    private static Exchange begun(Turn turn, Exchange exchange, long atMs) {
        if (exchange.history().used()) {
            return exchange;
        }
        turn.raise(new ShareEvent.Begun(exchange.call().team(), atMs));
        return turn.keep(exchange.with(exchange.history().withUsageReported()));
    }

    /** A connection that closes after the request was written mostly shows that the answer was lost, not the request. */
    private static boolean probablyBegun(Exchange exchange, Failure failure) {
        boolean lost = failure.kind() == Failure.Kind.CLOSED
                && exchange.attempt().get().written();
        return failure.answerAvailable() || lost;
    }

    private static boolean current(Exchange exchange, int attempt) {
        return exchange.attempt().exists(a -> a.number() == attempt);
    }
}
