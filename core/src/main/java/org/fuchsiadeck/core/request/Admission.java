package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.routing.PlacementFinder.PlacementResult;
import org.fuchsiadeck.core.routing.SplitMix;
import org.fuchsiadeck.core.share.ShareEvent;

/**
 * Admits an arriving request, claims its idempotency key if it has one, or refuses it at once.
 */
final class Admission {
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_LARGE = 413;
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    /** Delay of an arrival up to which the node is not behind, in milliseconds; the deadline is not shortened by it. */
    private static final long MAX_USUAL_DELAY_MS = 100;

    private Admission() {}

    static void onArrived(RequestReduction reduction, RequestEvent.Arrived arrived) {
        if (reduction.find(arrived.id()).isDefined()) {
            reduction.updateCounters(RequestCounters::plusStale);
            return;
        }
        CallerRequest call = arrived.call();
        Optional<Route> route =
                reduction.view().config().findRoute(call.origin().host(), call.method(), call.path());
        if (route.isEmpty()) {
            refuseUnrouted(reduction, arrived);
            return;
        }
        double draw = SplitMix.toFraction(reduction.randomBits());
        ActiveRequest request = ActiveRequest.arrived(
                arrived.id(), call, drawService(reduction, route.get()), sinceMs(reduction, arrived), draw);
        if (reduction.state().drain().isDefined()) {
            RequestFinisher.refuse(
                    reduction, request, new Refusal("draining", reduction.withJitter(MIN_RETRY_AFTER_MS)));
            return;
        }
        if (call.bodyBytes() > route.get().maxBodyBytes()) {
            RequestFinisher.refuse(reduction, request, new Refusal(STATUS_TOO_LARGE, "body_too_large", 0));
            return;
        }
        if (request.deadlineMs() <= reduction.nowMs()) {
            RequestFinisher.fail(reduction, request, EndReason.DEADLINE);
            return;
        }
        Optional<Refusal> overQuota = Quotas.refusal(reduction, request);
        if (overQuota.isPresent()) {
            RequestFinisher.refuse(reduction, request, overQuota.get());
            return;
        }
        reduction.raise(new ShareEvent.Requested(request.route().service()));
        int percent = Policies.of(reduction, request).retryBudgetPercent();
        reduction.state(reduction.state().with(reduction.state().budget().withNewRequest(percent)));
        claimOrAdmit(reduction, request);
    }

    /** Returns the time from which the caller waits, in monotonic milliseconds. */
    private static long sinceMs(RequestReduction reduction, RequestEvent.Arrived arrived) {
        long now = reduction.nowMs();
        long received = arrived.receivedMs().orElse(now);
        return now - received > MAX_USUAL_DELAY_MS ? received : now;
    }

    static void onClaimGranted(RequestReduction reduction, ActiveRequest request) {
        if (request.stage() == RequestStage.CLAIMING) {
            admit(reduction, request, Dispatcher.findServer(reduction, request));
        }
    }

    static void onClaimDenied(RequestReduction reduction, ActiveRequest request, RequestEvent.Denial denial) {
        if (request.stage() != RequestStage.CLAIMING) {
            return;
        }
        ActiveRequest released = request.withoutClaim();
        switch (denial) {
            case UNDECIDED ->
                RequestFinisher.refuse(
                        reduction, released, new Refusal("claim_undecided", reduction.withJitter(MIN_RETRY_AFTER_MS)));
            case OUTCOME_UNKNOWN -> RequestFinisher.rejectEarlierUnknown(reduction, released);
            default -> RequestFinisher.rejectDuplicate(reduction, released, denial);
        }
    }

    private static void refuseUnrouted(RequestReduction reduction, RequestEvent.Arrived arrived) {
        boolean configured = reduction.view().config().revision() > 0
                || !reduction.view().config().routes().isEmpty();
        Refusal refusal = configured
                ? new Refusal(STATUS_NOT_FOUND, "unknown_route", 0)
                : new Refusal("no_configuration", reduction.withJitter(MIN_RETRY_AFTER_MS));
        RequestFinisher.refuseUnrouted(reduction, arrived.id(), refusal);
    }

    private static void claimOrAdmit(RequestReduction reduction, ActiveRequest request) {
        PlacementResult found = Dispatcher.findServer(reduction, request);
        Optional<Refusal> refusal = Dispatcher.refusalFor(reduction, request, found.availability());
        if (refusal.isPresent()) {
            RequestFinisher.refuse(reduction, request, refusal.get());
            return;
        }
        reduction.schedule(request.deadlineMs(), new RequestEvent.TimerFired(request.id(), Timer.DEADLINE, 0));
        Optional<String> key = request.call().idempotencyKey();
        if (request.idempotent() || key.isEmpty()) {
            admit(reduction, request, found);
            return;
        }
        String scoped = scopedKey(request.call().team(), request.route(), key.get());
        reduction.put(request.claiming(scoped));
        reduction.raise(new ClaimEvent.Wanted(request.id(), scoped));
    }

    private static void admit(RequestReduction reduction, ActiveRequest request, PlacementResult found) {
        Optional<Refusal> refusal = Dispatcher.refusalFor(reduction, request, found.availability());
        if (refusal.isPresent()) {
            RequestFinisher.refuse(reduction, request, refusal.get());
        } else if (found.choice().isDefined()) {
            Quotas.charge(reduction, request);
            Dispatcher.dispatch(reduction, request, found.choice().get(), DispatchCause.FRESH);
        } else {
            RequestQueues.enqueue(reduction, request, found);
        }
    }

    private static Route drawService(RequestReduction reduction, Route route) {
        return route.terms().shares().isEmpty()
                ? route
                : route.withChosenService(SplitMix.toFraction(reduction.randomBits()));
    }

    private static String scopedKey(TeamId team, Route route, String key) {
        return escapeSlashes(team.value()) + "/" + escapeSlashes(route.name()) + "/" + key;
    }

    private static String escapeSlashes(String part) {
        return part.replace("%", "%25").replace("/", "%2F");
    }
}
