package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;
import org.fuchsiadeck.core.routing.Departure;
import org.fuchsiadeck.core.routing.PlacementFinder.PlacementResult;

/**
 * Handles the attempts in progress at leaving backend servers. An attempt that is expected to complete before the
 * server is gone stays there. Any other is moved to another server if the request permits it.
 */
final class Departures {
    /** Delay before the next try if no other server is available. */
    private static final long MOVE_RETRY_MS = 200;

    /** Time per token that is assumed before any was measured. */
    private static final double DEFAULT_TOKEN_MS = 100;

    private static final double IMPORT_BASE_MS = 100;
    private static final double IMPORT_MS_PER_TOKEN = 0.1;
    private static final int IMPORT_MIN_TOKENS = 256;

    private Departures() {}

    /** Lets each attempt at a leaving server complete there or moves it. */
    static void reviewAttempts(RequestReduction reduction, BackendId id) {
        for (ActiveRequest request : reduction.state().open().values()) {
            if (request.attempt().exists(a -> a.backend().id().equals(id))) {
                finishOrMove(reduction, request);
            }
        }
    }

    /** Lets the attempt of a request complete where it is or moves it. Does nothing if its server is not leaving. */
    static void finishOrMove(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        Optional<Departure> departure =
                reduction.state().fleet().departure(attempt.backend().id());
        if (departure.isEmpty() || !movable(request)) {
            return;
        }
        if (!request.history()
                .withAbandoned(DispatchCause.MOVE)
                .allowsAnotherRun(request.route().terms().maxAttempts())) {
            reduction.recordDecision(
                    request, Decision.Kind.STAYS, Optional.of(attempt.backend()), "no further server allowed");
            return;
        }
        long graceMs = Policies.of(reduction, request, attempt.backend()).leavingGraceMs();
        long endMs = departure.get().byMs() - graceMs;
        if (reduction.nowMs() < endMs && reduction.nowMs() + remainingMs(reduction, request) <= endMs) {
            reduction.recordDecision(request, Decision.Kind.STAYS, Optional.of(attempt.backend()), "fits the notice");
            reviewAt(reduction, request, endMs);
            return;
        }
        move(reduction, request, departure.get());
    }

    private static boolean movable(ActiveRequest request) {
        boolean resumable = !request.call().stream() || request.tokenStream();
        return request.idempotent() && resumable && request.stage() != RequestStage.CANCELLING;
    }

    private static void move(RequestReduction reduction, ActiveRequest request, Departure departure) {
        Attempt attempt = request.attempt().get();
        BackendId from = attempt.backend().id();
        AttemptHistory history = request.history().withAbandoned(DispatchCause.MOVE);
        PlacementResult found = Dispatcher.findServer(reduction, request.with(history));
        if (found.choice().isEmpty()) {
            if (reduction.nowMs() < departure.byMs()) {
                reviewAt(reduction, request, reduction.nowMs() + MOVE_RETRY_MS);
            }
            return;
        }
        boolean imports = canImport(reduction, request, departure);
        if (!imports) {
            reduction.emit(new RequestEffect.Cancel(request.id(), attempt.number()));
        }
        AttemptAccounting.recordAbandoned(reduction, request);
        ActiveRequest idle = request.withoutAttempt().with(history);
        Backend to = found.choice().get().server().backend();
        reduction.log(EventCode.STREAM_MOVED, request.id() + " from " + from + " to " + to.id());
        Dispatcher.dispatch(
                reduction,
                idle,
                found.choice().get(),
                imports ? DispatchCause.IMPORT : DispatchCause.MOVE,
                imports ? Optional.of(attempt.backend()) : Optional.empty());
    }

    /**
     * Returns whether the KV cache is transferred to the new server. A transfer is faster than computing the context
     * again for long contexts only, and the old server must live until the transfer has ended.
     */
    private static boolean canImport(RequestReduction reduction, ActiveRequest request, Departure departure) {
        if (!request.tokenStream() || request.history().delivered() == 0) {
            return false;
        }
        int tokens = request.call().completion().map(c -> c.promptTokens()).orElse(0)
                + request.history().delivered();
        double transferMs = IMPORT_BASE_MS + IMPORT_MS_PER_TOKEN * tokens;
        return tokens >= IMPORT_MIN_TOKENS && reduction.nowMs() + transferMs < departure.byMs();
    }

    /** Estimates how long an attempt still takes, in milliseconds. */
    private static double remainingMs(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        ServiceLoad load = reduction.state().loads().getOrElse(request.route().service(), ServiceLoad.NONE);
        double elapsed = reduction.nowMs() - attempt.dispatchedMs();
        if (request.call().completion().isEmpty()) {
            return Math.max(0, load.meanMs() - elapsed);
        }
        int tokens = request.call().completion().get().maxTokens();
        double meanTokenMs = load.tokenMs() > 0 ? load.tokenMs() : DEFAULT_TOKEN_MS;
        if (!request.tokenStream()) {
            return Math.max(0, tokens * meanTokenMs - elapsed);
        }
        double tokenMs = attempt.perTokenMs() > 0 ? attempt.perTokenMs() : meanTokenMs;
        return (tokens - request.history().delivered()) * tokenMs;
    }

    private static void reviewAt(RequestReduction reduction, ActiveRequest request, long atMs) {
        int attempt = request.attempt().get().number();
        reduction.schedule(atMs, new TimerFired(request.id(), Timer.LEAVING, attempt));
    }
}
