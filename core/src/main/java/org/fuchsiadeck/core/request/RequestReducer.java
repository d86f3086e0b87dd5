package org.fuchsiadeck.core.request;

import java.util.List;

import io.vavr.control.Option;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.quarantine.QuarantineEvent;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Router;

import static java.util.Objects.requireNonNull;

/**
 * Reduces the events of callers' requests: dispatches each request to a backend server that can serve it and gives each
 * caller exactly one final answer.
 */
public final class RequestReducer implements Reducer<RequestState> {
    private final Router router;

    /** Creates a reducer that uses the default router. */
    public RequestReducer() {
        this(Router.betterOfTwo());
    }

    /**
     * Creates a reducer that uses the given router, for comparisons with the default one.
     *
     * @param router selects the backend servers
     */
    public RequestReducer(Router router) {
        this.router = requireNonNull(router, "router");
    }

    @Override
    public Step<RequestState> reduce(RequestState state, View view, Event event) {
        RequestReduction reduction = new RequestReduction(state, view, router);
        if (event instanceof RequestEvent request) {
            reduceRequest(reduction, request);
        } else if (event instanceof PlatformEvent.Listed listed) {
            onBackendsListed(reduction, listed.backends());
        } else if (event instanceof PlatformEvent.ReclaimNoticed notice) {
            onReclaimNoticed(reduction, notice);
        } else if (event instanceof LifecycleEvent.StopRequested stop) {
            DrainHandler.onStopRequested(reduction, stop.noticeMs());
        } else if (event instanceof RequestReducerEvent internal) {
            reduceInternal(reduction, internal);
        } else if (event instanceof QuarantineEvent.Started started) {
            PromptChecks.onQuarantineStarted(reduction, started.quarantine());
        } else if (event instanceof PeerReceived received && received.message() instanceof LeavingBackend departing) {
            DepartureGossip.onLeavingBackend(reduction, departing);
        } else if (event instanceof PeerReceived received && received.message() instanceof ServerLimitMessage message) {
            ServerLimits.onMessage(reduction, received.from(), message);
        } else if (event instanceof MembershipEvent.Changed) {
            ServerLimits.onPeersChanged(reduction);
        } else {
            return Step.of(state);
        }
        for (BackendId id : reduction.takeLeaving()) {
            DepartureGossip.broadcast(reduction, id);
            Departures.reviewAttempts(reduction, id);
        }
        reduction.takeReadyServices().forEach(service -> RequestQueues.dispatchReady(reduction, service));
        DrainHandler.finishIfIdle(reduction);
        return reduction.toStep();
    }

    private static void reduceRequest(RequestReduction reduction, RequestEvent event) {
        if (event instanceof RequestEvent.Arrived arrived) {
            Admission.onArrived(reduction, arrived);
            return;
        }
        Option<ActiveRequest> active = reduction.find(event.id());
        if (active.isDefined()) {
            reduceActive(reduction, active.get(), event);
        } else if (event instanceof RequestEvent.AnswerStarted started) {
            AttemptEventHandler.countStale(reduction, started.id(), started.attempt());
        } else if (event instanceof RequestEvent.AnswerCompleted completed) {
            AttemptEventHandler.countStale(reduction, completed.id(), completed.attempt());
        }
    }

    private static void reduceActive(RequestReduction reduction, ActiveRequest request, RequestEvent event) {
        if (event instanceof RequestEvent.Progressed progressed) {
            AttemptEventHandler.onProgressed(reduction, request, progressed);
        } else if (event instanceof RequestEvent.Writing writing) {
            AttemptEventHandler.onWriting(reduction, request, writing);
        } else if (event instanceof RequestEvent.AnswerStarted started) {
            AttemptEventHandler.onAnswerStarted(reduction, request, started);
        } else if (event instanceof RequestEvent.AnswerCompleted completed) {
            AttemptEventHandler.onAnswerCompleted(reduction, request, completed);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            AttemptEventHandler.onAttemptFailed(reduction, request, failed);
        } else if (event instanceof RequestEvent.TimerFired fired) {
            RequestTimers.onTimerFired(reduction, request, fired);
        } else if (event instanceof RequestEvent.CallerGone gone) {
            CallerDisconnects.onCallerGone(reduction, request, gone);
        } else if (event instanceof RequestEvent.ClaimGranted) {
            Admission.onClaimGranted(reduction, request);
        } else if (event instanceof RequestEvent.ClaimDenied denied) {
            Admission.onClaimDenied(reduction, request, denied.denial());
        }
    }

    private static void onBackendsListed(RequestReduction reduction, List<Backend> backends) {
        for (Backend backend : backends) {
            if (backend.leaving() && !AttemptAccounting.isLeaving(reduction, backend)) {
                reduction.log(EventCode.BACKEND_LEAVING, backend.id() + " by the list");
                reduction.markLeaving(backend.id());
            }
        }
        reduction.updateFleet(f -> f.withListing(
                backends, reduction.nowMs(), b -> Policies.of(reduction, b).backendConcurrency()));
        reduction.state().queues().keySet().forEach(reduction::markServiceReady);
    }

    private static void onReclaimNoticed(RequestReduction reduction, PlatformEvent.ReclaimNoticed notice) {
        if (notice.instance().equals(reduction.view().self().id().value())) {
            if (reduction.state().drain().isEmpty()) {
                reduction.raise(new LifecycleEvent.StopRequested(notice.noticeMs()));
            }
            return;
        }
        BackendId id = new BackendId(notice.instance());
        if (reduction.state().fleet().departure(id).filter(d -> d.noticed()).isPresent()) {
            return;
        }
        reduction.updateFleet(f -> f.withReclaimNotice(id, reduction.nowMs(), notice.noticeMs()));
        if (reduction.state().fleet().servers().containsKey(id)) {
            reduction.log(EventCode.BACKEND_LEAVING, id + " by a notice of " + notice.noticeMs() + " ms");
            reduction.markLeaving(id);
        }
    }

    private static void reduceInternal(RequestReduction reduction, RequestReducerEvent event) {
        if (event instanceof RequestReducerEvent.DrainDue) {
            DrainHandler.onDrainDue(reduction);
        } else if (event instanceof RequestReducerEvent.Drained) {
            DrainHandler.onDrained(reduction);
        } else if (event instanceof RequestReducerEvent.LimitReviewDue due) {
            ServerLimits.onReviewDue(reduction, due.backend());
        } else if (event instanceof RequestReducerEvent.CapacityDue due) {
            CapacityGate.onDue(reduction, due.service());
        } else if (event instanceof RequestReducerEvent.ServerDue due) {
            Option<BackendStatus> server = reduction.state().fleet().servers().get(due.backend());
            server.forEach(s -> reduction.markServiceReady(s.backend().service()));
        }
    }
}
