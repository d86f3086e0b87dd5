package org.fuchsiadeck.core.request;

import java.util.List;

import io.vavr.control.Option;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.routing.Server;

import static java.util.Objects.requireNonNull;

/**
 * Takes each request to a backend server that can serve it, and gives each caller one final answer.
 */
public final class RequestReducer implements Reducer<RequestState> {
    private final Router router;

    /** Makes a reducer with the router in normal use. */
    public RequestReducer() {
        this(Router.betterOfTwo());
    }

    /**
     * Makes a reducer with another router, to measure against.
     *
     * @param router chooses the backend servers
     */
    public RequestReducer(Router router) {
        this.router = requireNonNull(router, "router");
    }

    @Override
    public Step<RequestState> reduce(RequestState state, View view, Event event) {
        Turn turn = new Turn(state, view, router);
        if (event instanceof RequestEvent request) {
            request(turn, request);
        } else if (event instanceof PlatformEvent.Listed listed) {
            listed(turn, listed.backends());
        } else if (event instanceof PlatformEvent.ReclaimNoticed notice) {
            noticed(turn, notice);
        } else if (event instanceof Lifecycle.StopRequested stop) {
            Draining.requested(turn, stop.noticeMs());
        } else if (event instanceof NodeWorkEvent work) {
            work(turn, work);
        } else if (event instanceof PeerReceived received && received.message() instanceof LeavingBackend news) {
            DepartureGossip.onLeavingBackend(turn, news);
        } else {
            return Step.of(state);
        }
        for (BackendId id : turn.takeLeaving()) {
            DepartureGossip.broadcast(turn, id);
            Departures.reviewAttempts(turn, id);
        }
        turn.takeFreed().forEach(service -> RequestQueues.dispatchReady(turn, service));
        Draining.check(turn);
        return turn.step();
    }

    private static void request(Turn turn, RequestEvent event) {
        if (event instanceof RequestEvent.Arrived arrived) {
            Arrivals.arrived(turn, arrived);
            return;
        }
        Option<Exchange> open = turn.find(event.id());
        if (open.isDefined()) {
            inProgress(turn, open.get(), event);
        } else if (event instanceof RequestEvent.AnswerStarted started) {
            Answers.stale(turn, started.id(), started.attempt());
        } else if (event instanceof RequestEvent.AnswerCompleted completed) {
            Answers.stale(turn, completed.id(), completed.attempt());
        }
    }

    private static void inProgress(Turn turn, Exchange exchange, RequestEvent event) {
        if (event instanceof RequestEvent.Progressed progressed) {
            Answers.progressed(turn, exchange, progressed);
        } else if (event instanceof RequestEvent.Writing writing) {
            Answers.writing(turn, exchange, writing);
        } else if (event instanceof RequestEvent.AnswerStarted started) {
            Answers.started(turn, exchange, started);
        } else if (event instanceof RequestEvent.AnswerCompleted completed) {
            Answers.completed(turn, exchange, completed);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            Answers.failed(turn, exchange, failed);
        } else if (event instanceof RequestEvent.TimerFired fired) {
            RequestTimers.onTimerFired(turn, exchange, fired);
        } else if (event instanceof RequestEvent.CallerGone) {
            CallerDisconnects.onCallerGone(turn, exchange);
        } else if (event instanceof RequestEvent.ClaimGranted) {
            Arrivals.granted(turn, exchange);
        } else if (event instanceof RequestEvent.ClaimDenied denied) {
            Arrivals.denied(turn, exchange, denied.denial());
        }
    }

    private static void listed(Turn turn, List<Backend> backends) {
        for (Backend backend : backends) {
            if (backend.leaving() && !Attempts.leaves(turn, backend)) {
                turn.log(EventCode.BACKEND_LEAVING, backend.id() + " by the list");
                turn.leaving(backend.id());
            }
        }
        turn.fleet(
                f -> f.listed(backends, turn.nowMs(), b -> Policies.of(turn, b).backendConcurrency()));
        turn.state().queues().keySet().forEach(turn::freed);
    }

    private static void noticed(Turn turn, PlatformEvent.ReclaimNoticed notice) {
        if (notice.instance().equals(turn.view().self().id().value())) {
            if (turn.state().drain().isEmpty()) {
                turn.raise(new Lifecycle.StopRequested(notice.noticeMs()));
            }
            return;
        }
        BackendId id = new BackendId(notice.instance());
        if (turn.state().fleet().departure(id).filter(d -> d.noticed()).isPresent()) {
            return;
        }
        turn.fleet(f -> f.noticed(id, turn.nowMs(), notice.noticeMs()));
        if (turn.state().fleet().servers().containsKey(id)) {
            turn.log(EventCode.BACKEND_LEAVING, id + " by a notice of " + notice.noticeMs() + " ms");
            turn.leaving(id);
        }
    }

    private static void work(Turn turn, NodeWorkEvent event) {
        if (event instanceof NodeWorkEvent.DrainDue) {
            Draining.due(turn);
        } else if (event instanceof NodeWorkEvent.Drained) {
            Draining.over(turn);
        } else if (event instanceof NodeWorkEvent.ServerDue due) {
            Option<Server> server = turn.state().fleet().servers().get(due.backend());
            server.forEach(s -> turn.freed(s.backend().service()));
        }
    }
}
