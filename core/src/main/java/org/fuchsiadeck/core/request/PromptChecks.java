package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.quarantine.PromptLoss;
import org.fuchsiadeck.core.quarantine.Quarantine;
import org.fuchsiadeck.core.quarantine.QuarantineEvent;
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.quarantine.QuarantineState.Verdict;

/**
 * Rejects requests whose prompts are in quarantine, and reports which prompts were lost and answered.
 */
final class PromptChecks {
    private static final String REASON = "prompt_quarantined";

    private static final EndReason END_REASON =
            new EndReason(REASON, false, "Backend servers crash under a part of the prompt.");

    /** A server that crashes as it begins an answer may still have sent some of it. */
    private static final long BEGINNING_MS = 100;

    private PromptChecks() {}

    /** Returns the refusal of a request that has not been dispatched, if its prompt is in quarantine. */
    static Optional<Refusal> refusal(RequestReduction reduction, ActiveRequest request) {
        QuarantineState.Decision decision = reduction.view().quarantine().check(reduction.view(), request.parts());
        return decision.verdict() == Verdict.REJECTED
                ? Optional.of(new Refusal(REASON, reduction.withJitter(decision.retryAfterMs())))
                : Optional.empty();
    }

    /** Reports that a request is dispatched if it is a trial. */
    static void recordDispatch(RequestReduction reduction, ActiveRequest request) {
        Verdict verdict = reduction
                .view()
                .quarantine()
                .check(reduction.view(), request.parts())
                .verdict();
        if (verdict == Verdict.TRIAL) {
            reduction.raise(new QuarantineEvent.TrialStarted(request.parts()));
        }
    }

    /** Reports the loss of an attempt that may be due to its prompt. */
    static void recordFailure(RequestReduction reduction, ActiveRequest request, Failure failure) {
        lossOf(reduction, request, failure).ifPresent(loss -> reduction.raise(new QuarantineEvent.Lost(loss)));
    }

    /** Returns whether a request may not be retried, because its prompt is in quarantine. */
    static boolean rejectsRetry(RequestReduction reduction, ActiveRequest request) {
        QuarantineState quarantine = reduction.view().quarantine();
        return quarantine.check(reduction.view(), request.parts()).verdict() == Verdict.REJECTED;
    }

    /** Reports that a server answered an attempt, if that ends a suspicion. */
    static void recordServerAnswer(RequestReduction reduction, Attempt attempt) {
        BackendId server = attempt.backend().id();
        if (reduction.view().quarantine().isLossBefore(server, attempt.dispatchedMs())) {
            reduction.raise(new QuarantineEvent.ServerAnswered(server, attempt.dispatchedMs()));
        }
    }

    static EndReason endReason() {
        return END_REASON;
    }

    /** Reports that a prompt was answered. */
    static void recordAnswer(RequestReduction reduction, ActiveRequest request) {
        if (!request.parts().isEmpty()) {
            reduction.raise(new QuarantineEvent.Answered(request.parts()));
        }
    }

    /** Reports that a prompt is being answered, if that ends a suspicion. */
    static void recordProgress(RequestReduction reduction, ActiveRequest request) {
        Attempt attempt = request.attempt().get();
        boolean lasting = attempt.firstByteMs() >= 0 && reduction.nowMs() - attempt.firstByteMs() > BEGINNING_MS;
        if (lasting && request.parts().stream().anyMatch(reduction.view().quarantine()::isSuspect)) {
            recordAnswer(reduction, request);
        }
    }

    /** Ends the requests in quarantine that are queued or whose answer has not begun. */
    static void onQuarantineStarted(RequestReduction reduction, Quarantine quarantine) {
        for (ActiveRequest request : reduction.state().open().values()) {
            if (!quarantine.covers(request.parts())) {
                continue;
            }
            if (request.ticket().isDefined()) {
                RequestFinisher.fail(reduction, request, END_REASON);
            } else if (request.stage() == RequestStage.CONNECTING || request.stage() == RequestStage.AWAITING) {
                RequestTimers.cancelAndFail(reduction, request, END_REASON);
            }
        }
    }

    private static Optional<PromptLoss> lossOf(RequestReduction reduction, ActiveRequest request, Failure failure) {
        Attempt attempt = request.attempt().get();
        List<String> parts = request.parts();
        long now = reduction.nowMs();
        boolean closed = failure.kind() == Failure.Kind.CLOSED || failure.kind() == Failure.Kind.BAD_ANSWER;
        boolean beginning = attempt.firstByteMs() < 0 || now - attempt.firstByteMs() <= BEGINNING_MS;
        boolean stayed = !AttemptAccounting.isLeaving(reduction, attempt.backend());
        return closed && attempt.written() && beginning && stayed && !parts.isEmpty()
                ? Optional.of(PromptLoss.of(attempt.backend().id(), request.id(), parts, attempt.dispatchedMs(), now))
                : Optional.empty();
    }
}
