package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * What the data path has to do for a caller's request.
 */
public sealed interface RequestEffect extends Effect {
    /**
     * Sends the request to a backend server. A stream goes on after the tokens already passed on.
     *
     * @param id the request
     * @param attempt the attempt, from 1
     * @param backend the server
     * @param maxIdleMs a kept connection may be used only if it answered within this time, in milliseconds; 0 for a new
     *     connection
     * @param remainingMs the time left for the request, in milliseconds, passed on to the server
     * @param importFrom the server whose KV cache of the stream is taken over. The earlier attempt there was not
     *     cancelled: the data path ends it by the export, and goes on from its journal if the export fails. Empty to
     *     compute the prompt and the journal again.
     */
    record Dispatch(
            RequestId id, int attempt, Backend backend, long maxIdleMs, long remainingMs, Optional<Backend> importFrom)
            implements RequestEffect {
        public Dispatch {
            requireNonNull(backend, "backend");
            requireNonNull(importFrom, "importFrom");
        }

        /**
         * Makes a dispatch without an import.
         *
         * @param id the request
         * @param attempt the attempt, from 1
         * @param backend the server
         * @param freshMs as above
         * @param deadlineMs as above
         */
        public Dispatch(RequestId id, int attempt, Backend backend, long freshMs, long deadlineMs) {
            this(id, attempt, backend, freshMs, deadlineMs, Optional.empty());
        }
    }

    /**
     * Gives up an attempt: closes its connection and cancels the work at the engine. The data path then reports one
     * {@link RequestEvent.AttemptFailed} with the step the attempt had reached, unless it had completed. Other events
     * of the attempt are not wanted.
     *
     * @param id the request
     * @param attempt the attempt
     */
    record Cancel(RequestId id, int attempt) implements RequestEffect {}

    /**
     * Passes the answer of an attempt on to the caller: a whole plain answer, or the head and all later chunks of a
     * stream.
     *
     * @param id the request
     * @param attempt the attempt
     */
    record Relay(RequestId id, int attempt) implements RequestEffect {}

    /**
     * Ends the caller's stream as whole.
     *
     * @param id the request
     */
    record EndStream(RequestId id) implements RequestEffect {}

    /**
     * Gives the caller a final answer that no backend server gave. Within a stream that has begun, it is the last event
     * of the stream.
     *
     * @param id the request
     * @param outcome what is known of the request
     * @param status the HTTP status
     * @param retryAfterMs when to come back, in milliseconds; 0 for no advice
     * @param reason a short machine-readable reason, such as {@code queue_full}
     * @param detail one sentence for a person
     */
    record Respond(RequestId id, Outcome outcome, int status, long retryAfterMs, String reason, String detail)
            implements RequestEffect {
        public Respond {
            requireNonNull(outcome, "outcome");
            requireNonNull(reason, "reason");
            requireNonNull(detail, "detail");
        }
    }

    /**
     * Forgets the request: its body, its journal, its connection.
     *
     * @param id the request
     */
    record Release(RequestId id) implements RequestEffect {}

    /** What is known of a request that no backend server answered whole. */
    enum Outcome {
        /** The request was not run. */
        NOT_RUN,
        /** The request may have run. */
        UNKNOWN,
        /** The request was run earlier under the same idempotency key. */
        DUPLICATE
    }
}
