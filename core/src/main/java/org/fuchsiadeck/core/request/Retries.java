package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.RetryBudget;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.routing.Placement.Availability;
import org.fuchsiadeck.core.routing.Placement.Found;

/**
 * Decides what follows an attempt that ended without a whole answer.
 */
final class Retries {
    private Retries() {}

    static void failed(Turn turn, Exchange exchange, Failure failure) {
        Attempt attempt = exchange.attempt().get();
        RetryRule rule = RetryRule.of(Extent.of(attempt, failure));
        boolean begun = exchange.history().begun();
        if (cancelledHere(exchange, failure)) {
            Attempts.dropped(turn, exchange);
        } else {
            Attempts.failed(turn, exchange, failure);
        }
        History history = exchange.history()
                .failed(attempt.backend().id(), rule.mayHaveRun(), begun ? Cause.RESUME : Cause.RETRY);
        History known = failure.answered() && !begun ? history.answered(attempt.number()) : history;
        Exchange next = turn.keep(exchange.idle().with(known));
        EndReason why = EndReason.of(failure);
        if (next.callerGone()) {
            Ending.abandoned(turn, next);
            return;
        }
        if (!rule.retries(next.idempotent()) || !worthwhile(turn, next)) {
            Ending.fail(turn, next, why);
            return;
        }
        boolean local = begun || turn.state().budget().allows();
        if (!local || !turn.view().use().allowsRetry(turn.nowMs(), next.route().service())) {
            Ending.fail(turn, next, EndReason.RETRY_BUDGET);
            return;
        }
        again(turn, next, why);
    }

    /** Tells whether this node ended an attempt that was not known to have failed. */
    private static boolean cancelledHere(Exchange exchange, Failure failure) {
        boolean connected = failure.step() != Failure.Step.CONNECTING && failure.kind() == Failure.Kind.CLOSED;
        return exchange.stage() == Stage.CANCELLING && (exchange.callerGone() || connected);
    }

    /** Tells whether a request would be sent to another server if its attempt were given up now. */
    static boolean mayAskAnother(Turn turn, Exchange exchange) {
        BackendId now = exchange.attempt().get().backend().id();
        Cause cause = exchange.history().begun() ? Cause.RESUME : Cause.RETRY;
        Exchange next = exchange.idle().with(exchange.history().failed(now, true, cause));
        boolean local = next.history().begun() || turn.state().budget().allows();
        return local
                && worthwhile(turn, next)
                && turn.view().use().allowsRetry(turn.nowMs(), next.route().service())
                && Dispatcher.find(turn, next)
                        .choice()
                        .exists(c -> !c.server().backend().id().equals(now));
    }

    private static boolean worthwhile(Turn turn, Exchange exchange) {
        History history = exchange.history();
        boolean resumable = !history.begun() || exchange.tokenStream();
        boolean left = history.failures() < Policies.of(turn, exchange).maxAttempts()
                && history.mayRunOnMore(exchange.route().terms().maxAttempts());
        return resumable && left && turn.nowMs() < exchange.deadlineMs();
    }

    private static void again(Turn turn, Exchange exchange, EndReason why) {
        Found found = Dispatcher.find(turn, exchange);
        boolean begun = exchange.history().begun();
        boolean full = found.availability() == Availability.FULL && found.openMs() <= exchange.deadlineMs();
        boolean waits = full || begun && found.availability() == Availability.SUSPECTED;
        if (found.choice().isEmpty() && !waits) {
            Ending.fail(turn, exchange, EndReason.NO_BACKEND);
            return;
        }
        if (!begun) {
            RetryBudget spent = turn.state().budget().spent();
            turn.state(turn.state().with(spent));
        }
        turn.log(EventCode.REQUEST_RETRIED, exchange.id() + " " + why.reason() + ": " + why.detail());
        if (found.choice().isDefined()) {
            Cause cause = exchange.history().next();
            Dispatcher.dispatch(turn, exchange, found.choice().get(), cause);
            return;
        }
        Waiting.rejoin(turn, exchange);
    }
}
