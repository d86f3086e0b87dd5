package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * What happens to a caller's request. Events of an attempt that is no longer the request's current one are ignored.
 */
public sealed interface RequestEvent extends Event {
    /**
     * Returns the request concerned.
     *
     * @return the request's id
     */
    RequestId id();

    /**
     * A caller's request is whole and waits for a decision. Ignored if a request with the id is in progress: the data
     * path gives a request another id, or refuses it, when the caller's own is in use.
     *
     * @param id the request
     * @param call what the caller asks for
     */
    record Arrived(RequestId id, CallerRequest call) implements RequestEvent {
        public Arrived {
            requireNonNull(id, "id");
            requireNonNull(call, "call");
        }
    }

    /**
     * The caller closed its connection.
     *
     * @param id the request
     */
    record CallerGone(RequestId id) implements RequestEvent {}

    /**
     * The first byte of the request is about to be written to a backend server.
     *
     * @param id the request
     * @param attempt the attempt, from 1
     */
    record Writing(RequestId id, int attempt) implements RequestEvent {}

    /**
     * The head of a successful answer came, and more follows.
     *
     * @param id the request
     * @param attempt the attempt
     * @param report what the backend server said of itself
     */
    record AnswerStarted(RequestId id, int attempt, Optional<BackendReport> report) implements RequestEvent {}

    /**
     * Tokens were passed on to the caller. Reported in batches, several in each chunk timeout while tokens flow.
     *
     * @param id the request
     * @param attempt the attempt
     * @param deliveredTokens tokens passed on so far, over all attempts
     */
    record Progressed(RequestId id, int attempt, int deliveredTokens) implements RequestEvent {}

    /**
     * The answer is whole.
     *
     * @param id the request
     * @param attempt the attempt
     * @param status the HTTP status of the backend server
     * @param deliveredTokens tokens passed on, over all attempts; 0 for a plain answer
     * @param recomputedTokens tokens the backend server had to compute again, as it says
     * @param report what the backend server said of itself
     */
    record AnswerCompleted(
            RequestId id,
            int attempt,
            int status,
            int deliveredTokens,
            int recomputedTokens,
            Optional<BackendReport> report)
            implements RequestEvent {}

    /**
     * The attempt ended without a whole answer.
     *
     * @param id the request
     * @param attempt the attempt
     * @param failure how and where
     * @param report what the backend server said of itself
     */
    record AttemptFailed(RequestId id, int attempt, Failure failure, Optional<BackendReport> report)
            implements RequestEvent {
        public AttemptFailed {
            requireNonNull(failure, "failure");
        }
    }

    /**
     * The idempotency key of the request was claimed for it; it may be dispatched.
     *
     * @param id the request
     */
    record ClaimGranted(RequestId id) implements RequestEvent {}

    /**
     * The idempotency key of the request could not be claimed.
     *
     * @param id the request
     * @param denial why
     */
    record ClaimDenied(RequestId id, Denial denial) implements RequestEvent {}

    /** Why an idempotency key could not be claimed. */
    enum Denial {
        /** An earlier request with the key is still in progress. */
        IN_PROGRESS,
        /** An earlier request with the key was answered. */
        ALREADY_ANSWERED,
        /** An earlier request with the key may have run. */
        OUTCOME_UNKNOWN,
        /** It cannot be told whether an earlier request used the key. */
        UNDECIDED
    }

    /**
     * A time set earlier for the request has come.
     *
     * @param id the request
     * @param timer which time
     * @param attempt the attempt it was set for; 0 for the whole request
     */
    record TimerFired(RequestId id, Timer timer, int attempt) implements RequestEvent {}

    /** What a time was set for. */
    enum Timer {
        /** The request's deadline. */
        DEADLINE,
        /** The wait for a connection. */
        CONNECT,
        /** The wait for the first byte of the answer. */
        FIRST_BYTE,
        /** The longest silence in a stream. */
        CHUNK,
        /** The end of a queued request's wait. */
        QUEUE,
        /** The time at which an attempt at a leaving backend server is looked at again. */
        LEAVING
    }
}
