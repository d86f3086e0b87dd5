package org.fuchsiadeck.core.request;

import java.util.List;

import io.vavr.control.Option;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.limit.Ticket;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.routing.Need;
import org.fuchsiadeck.core.routing.PlacementRequest;

import static java.util.Objects.requireNonNull;

/**
 * A caller's request in progress.
 *
 * @param id the request's id
 * @param call the request as the caller sent it
 * @param route the route, as configured when the request arrived
 * @param deadlineMs the time by which the request must have ended, in milliseconds
 * @param draw a random number from 0 to 1 that selects the version during a rollout
 * @param stage the stage of processing
 * @param claim the scoped idempotency key that the request is claiming or has claimed, if any
 * @param history the combined outcome of the attempts so far
 * @param attempt the attempt in progress, if any
 * @param ticket the place in the queue, if the request is queued
 * @param callerGone whether the caller has closed its connection
 */
public record ActiveRequest(
        RequestId id,
        CallerRequest call,
        Route route,
        long deadlineMs,
        double draw,
        RequestStage stage,
        Option<String> claim,
        AttemptHistory history,
        Option<Attempt> attempt,
        Option<Ticket> ticket,
        boolean callerGone) {
    public ActiveRequest {
        requireNonNull(id, "id");
        requireNonNull(call, "call");
        requireNonNull(route, "route");
        requireNonNull(stage, "stage");
        requireNonNull(history, "history");
    }

    static ActiveRequest arrived(RequestId id, CallerRequest call, Route route, long nowMs, double draw) {
        long waitMs = call.origin().waitMs();
        long limitMs = waitMs > 0 ? Math.min(waitMs, route.deadlineMs()) : route.deadlineMs();
        return new ActiveRequest(
                id,
                call,
                route,
                nowMs + limitMs,
                draw,
                RequestStage.QUEUED,
                Option.none(),
                AttemptHistory.NONE.withProgress(call.origin().received()),
                Option.none(),
                Option.none(),
                false);
    }

    ActiveRequest claiming(String key) {
        return new ActiveRequest(
                id,
                call,
                route,
                deadlineMs,
                draw,
                RequestStage.CLAIMING,
                Option.some(key),
                history,
                attempt,
                ticket,
                callerGone);
    }

    ActiveRequest withoutClaim() {
        return new ActiveRequest(
                id, call, route, deadlineMs, draw, stage, Option.none(), history, attempt, ticket, callerGone);
    }

    ActiveRequest queued(Ticket next) {
        return new ActiveRequest(
                id,
                call,
                route,
                deadlineMs,
                draw,
                RequestStage.QUEUED,
                claim,
                history,
                Option.none(),
                Option.some(next),
                callerGone);
    }

    ActiveRequest dispatched(Attempt next) {
        return new ActiveRequest(
                id,
                call,
                route,
                deadlineMs,
                draw,
                RequestStage.CONNECTING,
                claim,
                history.withDispatch(),
                Option.some(next),
                Option.none(),
                callerGone);
    }

    ActiveRequest withAttempt(RequestStage nextStage, Attempt nextAttempt) {
        return new ActiveRequest(
                id,
                call,
                route,
                deadlineMs,
                draw,
                nextStage,
                claim,
                history,
                Option.some(nextAttempt),
                ticket,
                callerGone);
    }

    ActiveRequest with(AttemptHistory next) {
        return new ActiveRequest(id, call, route, deadlineMs, draw, stage, claim, next, attempt, ticket, callerGone);
    }

    ActiveRequest withoutAttempt() {
        return new ActiveRequest(
                id,
                call,
                route,
                deadlineMs,
                draw,
                RequestStage.QUEUED,
                claim,
                history,
                Option.none(),
                Option.none(),
                callerGone);
    }

    ActiveRequest withCallerGone() {
        return new ActiveRequest(id, call, route, deadlineMs, draw, stage, claim, history, attempt, ticket, true);
    }

    /**
     * Returns whether the request may run more than once.
     */
    boolean idempotent() {
        return route.idempotent();
    }

    /**
     * Returns whether the answer is a stream of tokens, which another server can continue.
     */
    boolean tokenStream() {
        return call.stream() && route.kind() == Backend.Kind.ENGINE;
    }

    /**
     * Returns whether the request may have run, or may be running in the attempt in progress.
     */
    boolean mayHaveRun() {
        return history.exposed() || attempt.isDefined();
    }

    /** Returns the ids of the parts of the prompt that other requests may contain too. */
    List<String> parts() {
        return call.completion().map(CallerRequest.Completion::parts).orElse(List.of());
    }

    Need need() {
        return new Need(
                route.service(),
                route.kind(),
                call.completion().map(CallerRequest.Completion::model),
                call.completion().flatMap(CallerRequest.Completion::adapter));
    }

    PlacementRequest wanted() {
        return new PlacementRequest(need(), draw, history.version(), history.failedAt(), idempotent());
    }
}
