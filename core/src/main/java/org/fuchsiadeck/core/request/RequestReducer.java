package org.fuchsiadeck.core.request;

import java.util.Optional;

import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Takes each request to the first backend server of its service, and its answer back.
 */
public final class RequestReducer implements Reducer<RequestState> {
    private static final int NOT_FOUND = 404;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 1_000;

    @Override
    public Step<RequestState> reduce(RequestState state, View view, Event event) {
        if (event instanceof PlatformEvent.Listed listed) {
            return listed(state, listed);
        }
        if (event instanceof RequestEvent.Arrived arrived) {
            return arrived(state, view, arrived);
        }
        if (event instanceof RequestEvent request && state.streams().containsKey(request.id())) {
            return progressed(state, request);
        }
        return Step.of(state);
    }

    private static Step<RequestState> listed(RequestState state, PlatformEvent.Listed listed) {
        TreeMap<BackendId, Backend> backends = TreeMap.empty();
        for (Backend backend : listed.backends()) {
            backends = backends.put(backend.id(), backend);
        }
        return Step.of(new RequestState(backends, state.streams()));
    }

    private static Step<RequestState> arrived(RequestState state, View view, RequestEvent.Arrived arrived) {
        CallerRequest call = arrived.call();
        Optional<Route> route = view.config().route(call.method(), call.path());
        if (route.isEmpty()) {
            return refuse(state, arrived, NOT_FOUND, "unknown_route");
        }
        Optional<Backend> backend = state.backends()
                .values()
                .find(b -> b.service().equals(route.get().service()) && !b.leaving())
                .toJavaOptional();
        if (backend.isEmpty()) {
            return refuse(state, arrived, UNAVAILABLE, "no_backend");
        }
        return Step.of(
                new RequestState(state.backends(), state.streams().put(arrived.id(), call.stream())),
                new RequestEffect.Dispatch(
                        arrived.id(), 1, backend.get(), 0, route.get().deadlineMs()));
    }

    private static Step<RequestState> progressed(RequestState state, RequestEvent event) {
        boolean stream = state.streams().get(event.id()).get();
        RequestState done = new RequestState(state.backends(), state.streams().remove(event.id()));
        if (event instanceof RequestEvent.AnswerStarted started && stream) {
            return Step.of(state, new RequestEffect.Relay(event.id(), started.attempt()));
        }
        if (event instanceof RequestEvent.AnswerCompleted completed) {
            Effect answer = stream
                    ? new RequestEffect.EndStream(event.id())
                    : new RequestEffect.Relay(event.id(), completed.attempt());
            return Step.of(done, answer, new RequestEffect.Release(event.id()));
        }
        if (event instanceof RequestEvent.AttemptFailed failed) {
            Effect answer = new RequestEffect.Respond(
                    event.id(),
                    RequestEffect.Outcome.UNKNOWN,
                    BAD_GATEWAY,
                    0,
                    "backend_failed",
                    failed.failure().detail());
            return Step.of(done, answer, new RequestEffect.Release(event.id()));
        }
        if (event instanceof RequestEvent.CallerGone) {
            return Step.of(done, new RequestEffect.Cancel(event.id(), 1), new RequestEffect.Release(event.id()));
        }
        return Step.of(state);
    }

    private static Step<RequestState> refuse(
            RequestState state, RequestEvent.Arrived arrived, int status, String reason) {
        Effect answer = new RequestEffect.Respond(
                arrived.id(),
                RequestEffect.Outcome.NOT_RUN,
                status,
                RETRY_AFTER_MS,
                reason,
                "The request was not run.");
        Effect log = new Effect.Log(EventCode.REQUEST_REFUSED, arrived.id() + " " + reason);
        return Step.of(state, answer, log, new RequestEffect.Release(arrived.id()));
    }
}
