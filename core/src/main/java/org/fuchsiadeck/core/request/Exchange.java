package org.fuchsiadeck.core.request;

import io.vavr.control.Option;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.limit.Ticket;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.routing.Need;
import org.fuchsiadeck.core.routing.Wanted;

import static java.util.Objects.requireNonNull;

/**
 * A request in progress.
 *
 * @param id the request
 * @param call what the caller asks for
 * @param route the route as it was at arrival
 * @param deadlineMs when the request must have ended, in milliseconds
 * @param draw the number from 0 to 1 that decides between the versions of a rollout
 * @param stage how far it has come
 * @param claim the idempotency key it wants or holds, with its scope
 * @param history what has come of it so far
 * @param attempt the attempt it waits for
 * @param ticket its place in the queue
 * @param callerGone whether the caller has closed its connection
 */
public record Exchange(
        RequestId id,
        CallerRequest call,
        Route route,
        long deadlineMs,
        double draw,
        Stage stage,
        Option<String> claim,
        AttemptHistory history,
        Option<Attempt> attempt,
        Option<Ticket> ticket,
        boolean callerGone) {
    public Exchange {
        requireNonNull(id, "id");
        requireNonNull(call, "call");
        requireNonNull(route, "route");
        requireNonNull(stage, "stage");
        requireNonNull(history, "history");
    }

    static Exchange arrived(RequestId id, CallerRequest call, Route route, long nowMs, double draw) {
        long waitMs = call.origin().waitMs();
        long limitMs = waitMs > 0 ? Math.min(waitMs, route.deadlineMs()) : route.deadlineMs();
        return new Exchange(
                id,
                call,
                route,
                nowMs + limitMs,
                draw,
                Stage.QUEUED,
                Option.none(),
                AttemptHistory.NONE.withProgress(call.origin().received()),
                Option.none(),
                Option.none(),
                false);
    }

    Exchange claiming(String key) {
        return new Exchange(
                id,
                call,
                route,
                deadlineMs,
                draw,
                Stage.CLAIMING,
                Option.some(key),
                history,
                attempt,
                ticket,
                callerGone);
    }

    Exchange unclaimed() {
        return new Exchange(
                id, call, route, deadlineMs, draw, stage, Option.none(), history, attempt, ticket, callerGone);
    }

    Exchange queued(Ticket place) {
        return new Exchange(
                id,
                call,
                route,
                deadlineMs,
                draw,
                Stage.QUEUED,
                claim,
                history,
                Option.none(),
                Option.some(place),
                callerGone);
    }

    Exchange dispatched(Attempt next) {
        return new Exchange(
                id,
                call,
                route,
                deadlineMs,
                draw,
                Stage.CONNECTING,
                claim,
                history.withDispatch(),
                Option.some(next),
                Option.none(),
                callerGone);
    }

    Exchange at(Stage next, Attempt now) {
        return new Exchange(
                id, call, route, deadlineMs, draw, next, claim, history, Option.some(now), ticket, callerGone);
    }

    Exchange with(AttemptHistory next) {
        return new Exchange(id, call, route, deadlineMs, draw, stage, claim, next, attempt, ticket, callerGone);
    }

    Exchange idle() {
        return new Exchange(
                id,
                call,
                route,
                deadlineMs,
                draw,
                Stage.QUEUED,
                claim,
                history,
                Option.none(),
                Option.none(),
                callerGone);
    }

    Exchange gone() {
        return new Exchange(id, call, route, deadlineMs, draw, stage, claim, history, attempt, ticket, true);
    }

    /**
     * Tells whether the request may run more than once.
     *
     * @return whether it may
     */
    boolean idempotent() {
        return route.idempotent();
    }

    /**
     * Tells whether the answer is a stream of tokens, which another server can go on with.
     *
     * @return whether it is
     */
    boolean tokenStream() {
        return call.stream() && route.kind() == Backend.Kind.ENGINE;
    }

    /**
     * Tells whether the request may have run, the attempt in progress included.
     *
     * @return whether it may have
     */
    boolean mayHaveRun() {
        return history.exposed() || attempt.isDefined();
    }

    Need need() {
        return new Need(
                route.service(),
                route.kind(),
                call.completion().map(CallerRequest.Completion::model),
                call.completion().flatMap(CallerRequest.Completion::adapter));
    }

    Wanted wanted() {
        return new Wanted(need(), draw, history.version(), history.failedAt(), idempotent());
    }
}
