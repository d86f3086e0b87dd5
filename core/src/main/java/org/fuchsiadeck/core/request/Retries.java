package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.RetryBudget;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.routing.PlacementFinder.Availability;
import org.fuchsiadeck.core.routing.PlacementFinder.PlacementResult;

/**
 * Retries or ends requests whose attempt failed.
 */
final class Retries {
    private Retries() {}

    /** Records a failed attempt, then dispatches the request again, queues it or ends it. */
    static void attemptFailed(RequestReduction reduction, ActiveRequest request, Failure failure) {
        Attempt attempt = request.attempt().get();
        RetryRule rule = RetryRule.of(AttemptProgress.of(attempt, failure));
        boolean relayStarted = request.history().relayStarted();
        if (cancelledByNode(request, failure)) {
            AttemptAccounting.recordAbandoned(reduction, request);
        } else {
            AttemptAccounting.recordFailure(reduction, request, failure);
        }
        AttemptHistory history = request.history()
                .withFailure(
                        attempt.backend().id(),
                        rule.mayHaveRun(),
                        relayStarted ? DispatchCause.RESUME : DispatchCause.RETRY);
        AttemptHistory updated =
                failure.answerAvailable() && !relayStarted ? history.withErrorAnswer(attempt.number()) : history;
        ActiveRequest next = reduction.put(request.withoutAttempt().with(updated));
        EndReason why = EndReason.of(failure);
        if (next.callerGone()) {
            RequestFinisher.abandon(reduction, next);
            return;
        }
        if (PromptChecks.rejectsRetry(reduction, request)) {
            RequestFinisher.fail(reduction, next, PromptChecks.endReason());
            return;
        }
        if (!rule.allowsRetry(next.idempotent()) || !mayRetry(reduction, next)) {
            RequestFinisher.fail(reduction, next, why);
            return;
        }
        boolean withinBudget = relayStarted || reduction.state().budget().allowsRetry();
        if (!withinBudget
                || !reduction
                        .view()
                        .usage()
                        .allowsRetry(reduction.nowMs(), next.route().service())) {
            RequestFinisher.fail(reduction, next, EndReason.RETRY_BUDGET);
            return;
        }
        retry(reduction, next, why);
    }

    /** Returns whether this node cancelled the attempt without evidence that it had failed. */
    private static boolean cancelledByNode(ActiveRequest request, Failure failure) {
        boolean connected = failure.step() != Failure.Step.CONNECTING && failure.kind() == Failure.Kind.CLOSED;
        return request.stage() == RequestStage.CANCELLING && (request.callerGone() || connected);
    }

    /** Returns whether the request would be sent to another server if its current attempt were cancelled now. */
    static boolean canRetryElsewhere(RequestReduction reduction, ActiveRequest request) {
        BackendId current = request.attempt().get().backend().id();
        DispatchCause cause = request.history().relayStarted() ? DispatchCause.RESUME : DispatchCause.RETRY;
        ActiveRequest next = request.withoutAttempt().with(request.history().withFailure(current, true, cause));
        boolean withinBudget =
                next.history().relayStarted() || reduction.state().budget().allowsRetry();
        return withinBudget
                && mayRetry(reduction, next)
                && reduction
                        .view()
                        .usage()
                        .allowsRetry(reduction.nowMs(), next.route().service())
                && Dispatcher.findServer(reduction, next)
                        .choice()
                        .exists(c -> !c.server().backend().id().equals(current));
    }

    private static boolean mayRetry(RequestReduction reduction, ActiveRequest request) {
        AttemptHistory history = request.history();
        boolean resumable = !history.relayStarted() || request.tokenStream();
        boolean attemptsLeft =
                history.failures() < Policies.of(reduction, request).maxAttempts()
                        && history.allowsAnotherRun(request.route().terms().maxAttempts());
        return resumable && attemptsLeft && reduction.nowMs() < request.deadlineMs();
    }

    private static void retry(RequestReduction reduction, ActiveRequest request, EndReason why) {
        PlacementResult found = Dispatcher.findServer(reduction, request);
        boolean relayStarted = request.history().relayStarted();
        boolean full = found.availability() == Availability.FULL && found.pausedUntilMs() <= request.deadlineMs();
        boolean mayWait = full || relayStarted && found.availability() == Availability.SUSPECTED;
        if (found.choice().isEmpty() && !mayWait) {
            RequestFinisher.fail(reduction, request, EndReason.NO_BACKEND);
            return;
        }
        if (!relayStarted) {
            RetryBudget budget = reduction.state().budget().withRetry();
            reduction.state(reduction.state().with(budget));
        }
        reduction.log(EventCode.REQUEST_RETRIED, request.id() + " " + why.reason() + ": " + why.detail());
        if (found.choice().isDefined()) {
            DispatchCause cause = request.history().next();
            Dispatcher.dispatch(reduction, request, found.choice().get(), cause);
            return;
        }
        RequestQueues.requeue(reduction, request);
    }
}
