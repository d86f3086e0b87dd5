package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Why an attempt ended without a whole answer.
 *
 * @param step how far the attempt had come
 * @param kind what went wrong
 * @param peer the address of the other end
 * @param detail what was seen, for the log
 * @param answerAvailable whether the backend server's whole answer is at hand and can be passed on: an error of its own
 */
public record Failure(Step step, Kind kind, String peer, String detail, boolean answerAvailable) {
    public Failure {
        requireNonNull(step, "step");
        requireNonNull(kind, "kind");
        Checks.notBlank(peer, "peer");
        requireNonNull(detail, "detail");
    }

    /**
     * Makes a failure that left no answer.
     *
     * @param step how far the attempt had come
     * @param kind what went wrong
     * @param peer the address of the other end
     * @param detail what was seen, for the log
     */
    public Failure(Step step, Kind kind, String peer, String detail) {
        this(step, kind, peer, detail, false);
    }

    /** How far an attempt had come. Up to and including {@code CONNECTING} no byte of the request was written. */
    public enum Step {
        /** No byte of the request was written. */
        CONNECTING,
        /** Some or all of the request was written, and no byte of the answer came. */
        AWAITING,
        /** The answer had begun. */
        STREAMING
    }

    /** What went wrong. */
    public enum Kind {
        /** No connection could be made. */
        UNREACHABLE,
        /** The connection closed. */
        CLOSED,
        /** Nothing came in time. */
        TIMEOUT,
        /** The answer could not be read, was cut, or was of another request. */
        BAD_ANSWER,
        /** The backend server refused in the way that its contract says means not run. */
        REFUSED_NOT_RUN,
        /** The backend server answered with an error. */
        SERVER_ERROR,
        /** This node had no room for the answer, which says nothing of the server. */
        NO_ROOM
    }
}
