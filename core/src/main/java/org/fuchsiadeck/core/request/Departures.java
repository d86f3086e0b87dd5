package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;
import org.fuchsiadeck.core.routing.Departure;
import org.fuchsiadeck.core.routing.Placement.Found;

/**
 * Decides what becomes of the attempts at a leaving backend server: they end there if they can, and are moved if not.
 */
final class Departures {
    private static final long MOVE_RETRY_MS = 200;
    private static final double UNKNOWN_TOKEN_MS = 100;
    private static final double IMPORT_BASE_MS = 100;
    private static final double IMPORT_TOKEN_MS = 0.1;
    private static final int IMPORT_MIN_TOKENS = 256;

    private Departures() {}

    /** Looks at every attempt at a leaving server. */
    static void reviewAttempts(Turn turn, BackendId id) {
        for (Exchange exchange : turn.state().open().values()) {
            if (exchange.attempt().exists(a -> a.backend().id().equals(id))) {
                finishOrMove(turn, exchange);
            }
        }
    }

    /** Lets the attempt of a request end where it is, or moves it. */
    static void finishOrMove(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        Optional<Departure> departure =
                turn.state().fleet().departure(attempt.backend().id());
        if (departure.isEmpty() || !movable(exchange)) {
            return;
        }
        if (!exchange.history()
                .abandoned(Cause.MOVE)
                .allowsAnotherRun(exchange.route().terms().maxAttempts())) {
            turn.decide(exchange, Decision.Kind.STAYS, Optional.of(attempt.backend()), "no further server allowed");
            return;
        }
        long graceMs = Policies.of(turn, exchange, attempt.backend()).leavingGraceMs();
        long endMs = departure.get().byMs() - graceMs;
        if (turn.nowMs() < endMs && turn.nowMs() + remainingMs(turn, exchange) <= endMs) {
            turn.decide(exchange, Decision.Kind.STAYS, Optional.of(attempt.backend()), "fits the notice");
            again(turn, exchange, endMs);
            return;
        }
        move(turn, exchange, departure.get());
    }

    private static boolean movable(Exchange exchange) {
        boolean whole = !exchange.call().stream() || exchange.tokenStream();
        return exchange.idempotent() && whole && exchange.stage() != Stage.CANCELLING;
    }

    private static void move(Turn turn, Exchange exchange, Departure departure) {
        Attempt attempt = exchange.attempt().get();
        BackendId from = attempt.backend().id();
        AttemptHistory history = exchange.history().abandoned(Cause.MOVE);
        Found found = Dispatcher.find(turn, exchange.with(history));
        if (found.choice().isEmpty()) {
            if (turn.nowMs() < departure.byMs()) {
                again(turn, exchange, turn.nowMs() + MOVE_RETRY_MS);
            }
            return;
        }
        boolean imports = imports(turn, exchange, departure);
        if (!imports) {
            turn.effect(new RequestEffect.Cancel(exchange.id(), attempt.number()));
        }
        Attempts.dropped(turn, exchange);
        Exchange idle = exchange.idle().with(history);
        Backend to = found.choice().get().server().backend();
        turn.log(EventCode.STREAM_MOVED, exchange.id() + " from " + from + " to " + to.id());
        Dispatcher.dispatch(
                turn,
                idle,
                found.choice().get(),
                imports ? Cause.IMPORT : Cause.MOVE,
                imports ? Optional.of(attempt.backend()) : Optional.empty());
    }

    /** An import pays for a long context only, and needs the old server until the cache is across. */
    private static boolean imports(Turn turn, Exchange exchange, Departure departure) {
        if (!exchange.tokenStream() || exchange.history().delivered() == 0) {
            return false;
        }
        int tokens = exchange.call().completion().map(c -> c.promptTokens()).orElse(0)
                + exchange.history().delivered();
        double takesMs = IMPORT_BASE_MS + IMPORT_TOKEN_MS * tokens;
        return tokens >= IMPORT_MIN_TOKENS && turn.nowMs() + takesMs < departure.byMs();
    }

    private static double remainingMs(Turn turn, Exchange exchange) {
        Attempt attempt = exchange.attempt().get();
        ServiceLoad load = turn.state().loads().getOrElse(exchange.route().service(), ServiceLoad.NONE);
        double elapsed = turn.nowMs() - attempt.dispatchedMs();
        if (exchange.call().completion().isEmpty()) {
            return Math.max(0, load.meanMs() - elapsed);
        }
        int tokens = exchange.call().completion().get().maxTokens();
        double known = load.tokenMs() > 0 ? load.tokenMs() : UNKNOWN_TOKEN_MS;
        if (!exchange.tokenStream()) {
            return Math.max(0, tokens * known - elapsed);
        }
        double pace = attempt.perTokenMs() > 0 ? attempt.perTokenMs() : known;
        return (tokens - exchange.history().delivered()) * pace;
    }

    private static void again(Turn turn, Exchange exchange, long atMs) {
        int attempt = exchange.attempt().get().number();
        turn.schedule(atMs, new TimerFired(exchange.id(), Timer.LEAVING, attempt));
    }
}
