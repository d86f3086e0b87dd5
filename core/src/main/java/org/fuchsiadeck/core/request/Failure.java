package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * The failure of an attempt: why it gave no complete answer, or that the backend server answered with an error.
 *
 * @param step how far the attempt got
 * @param kind what went wrong
 * @param peer address of the remote end
 * @param detail what was observed, for the log
 * @param answerAvailable whether the backend server gave a complete error answer that can be forwarded
 */
public record Failure(Step step, Kind kind, String peer, String detail, boolean answerAvailable) {
    public Failure {
        requireNonNull(step, "step");
        requireNonNull(kind, "kind");
        Checks.notBlank(peer, "peer");
        requireNonNull(detail, "detail");
    }

    /**
     * Creates a failure without an error answer.
     *
     * @param step how far the attempt got
     * @param kind what went wrong
     * @param peer address of the remote end
     * @param detail what was observed, for the log
     */
    public Failure(Step step, Kind kind, String peer, String detail) {
        this(step, kind, peer, detail, false);
    }

    /** How far an attempt got. Up to and including {@code CONNECTING} no byte of the request was written. */
    public enum Step {
        /** No byte of the request was written. */
        CONNECTING,
        /** Some or all of the request was written; no byte of the answer was received. */
        AWAITING,
        /** Part of the answer was received. */
        STREAMING
    }

    /** What went wrong. */
    public enum Kind {
        /** No connection could be made. */
        UNREACHABLE,
        /** The connection closed. */
        CLOSED,
        /** No data was received within the timeout. */
        TIMEOUT,
        /** The answer was malformed, truncated or of another request. */
        BAD_ANSWER,
        /** The backend server refused the request in the form that its contract defines as not run. */
        REFUSED_NOT_RUN,
        /** The backend server answered with an error. */
        SERVER_ERROR,
        /** This node had no buffer space for the answer; not a fault of the server. */
        NO_ROOM,
        /** The node was too short of processor time to find out whether the caller was still there; nothing was sent. */
        NODE_BEHIND
    }
}
