package org.fuchsiadeck.core.request;

import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * An event of a caller's request. Events of an attempt that is no longer the request's current one are ignored.
 */
public sealed interface RequestEvent extends Event {
    /**
     * Returns the request concerned.
     *
     * @return the request's id
     */
    RequestId id();

    /**
     * A caller's request has been received completely. Ignored if a request with the id is in progress: the data path
     * assigns another id, or refuses the request, if the id that the caller chose is in use.
     *
     * @param id the request
     * @param call the properties of the request
     * @param receivedMs the monotonic time at which the node could have read the request if it had not been short of
     *     processor time, in milliseconds; empty if it is the time of the event
     */
    record Arrived(RequestId id, CallerRequest call, OptionalLong receivedMs) implements RequestEvent {
        public Arrived {
            requireNonNull(id, "id");
            requireNonNull(call, "call");
            requireNonNull(receivedMs, "receivedMs");
        }

        /**
         * Creates the event of a request that is reduced when it is received.
         *
         * @param id the request
         * @param call the properties of the request
         */
        public Arrived(RequestId id, CallerRequest call) {
            this(id, call, OptionalLong.empty());
        }
    }

    /**
     * The caller closed its connection. Posted twice: the urgent one ends a request that waits or is in progress before
     * other queued events are handled, but precedes the request's arrival if that is still queued; the other one follows
     * the arrival. The second one to be reduced has no effect.
     *
     * @param id the request
     * @param isUrgent whether the event is handled before others that wait
     */
    record CallerGone(RequestId id, boolean isUrgent) implements RequestEvent {
        /**
         * Creates an event that is handled in the order of posting.
         *
         * @param id the request
         */
        public CallerGone(RequestId id) {
            this(id, false);
        }
    }

    /**
     * The first byte of the request is about to be written to a backend server.
     *
     * @param id the request
     * @param attempt number of the attempt, from 1
     */
    record Writing(RequestId id, int attempt) implements RequestEvent {}

    /**
     * The head of a successful answer was received; the rest follows.
     *
     * @param id the request
     * @param attempt number of the attempt
     * @param report the backend server's report on its own state, if it sent one
     */
    record AnswerStarted(RequestId id, int attempt, Optional<BackendReport> report) implements RequestEvent {}

    /**
     * Tokens were delivered to the caller. Reported in batches, several times per chunk timeout while tokens arrive.
     *
     * @param id the request
     * @param attempt number of the attempt
     * @param deliveredTokens number of tokens delivered so far, over all attempts
     */
    record Progressed(RequestId id, int attempt, int deliveredTokens) implements RequestEvent {}

    /**
     * The answer was received completely.
     *
     * @param id the request
     * @param attempt number of the attempt
     * @param status the HTTP status of the backend server
     * @param deliveredTokens number of tokens delivered, over all attempts; 0 for a plain answer
     * @param recomputedTokens number of tokens that the backend server reports as computed again
     * @param report the backend server's report on its own state, if it sent one
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
     * The attempt failed: it gave no complete answer, or the backend server answered with an error.
     *
     * @param id the request
     * @param attempt number of the attempt
     * @param failure the failure
     * @param report the backend server's report on its own state, if it sent one
     */
    record AttemptFailed(RequestId id, int attempt, Failure failure, Optional<BackendReport> report)
            implements RequestEvent {
        public AttemptFailed {
            requireNonNull(failure, "failure");
        }
    }

    /**
     * The idempotency key of the request was claimed, so that the request may be dispatched.
     *
     * @param id the request
     */
    record ClaimGranted(RequestId id) implements RequestEvent {}

    /**
     * The idempotency key of the request could not be claimed.
     *
     * @param id the request
     * @param denial the reason
     */
    record ClaimDenied(RequestId id, Denial denial) implements RequestEvent {}

    /** Reason why an idempotency key could not be claimed. */
    enum Denial {
        /** An earlier request with the key is still in progress. */
        IN_PROGRESS,
        /** An earlier request with the key was answered. */
        ALREADY_ANSWERED,
        /** An earlier request with the key may have run. */
        OUTCOME_UNKNOWN,
        /** It could not be determined whether an earlier request used the key. */
        UNDECIDED
    }

    /**
     * A timer of the request fired.
     *
     * @param id the request
     * @param timer the purpose of the timer
     * @param attempt number of the attempt that it was set for; 0 for the whole request
     */
    record TimerFired(RequestId id, Timer timer, int attempt) implements RequestEvent {}

    /** Purpose of a timer. */
    enum Timer {
        /** The request's deadline. */
        DEADLINE,
        /** Timeout for the connection to a backend server. */
        CONNECT,
        /** Timeout for the first byte of the answer. */
        FIRST_BYTE,
        /** Timeout for the next chunk of a stream. */
        CHUNK,
        /** Timeout for a queued request. */
        QUEUE,
        /** Next check of an attempt at a leaving backend server. */
        LEAVING
    }
}
