package org.fuchsiadeck.node.platform;

import java.util.Locale;

import org.fuchsiadeck.core.model.Address;

import static java.util.Objects.requireNonNull;

/**
 * An {@link HttpCall} without a whole answer.
 *
 * @param step where it failed
 * @param peer the server
 * @param detail what was seen
 * @param sent whether any byte of the request may have been written
 */
public record HttpFailure(Step step, Address peer, String detail, boolean sent) {
    public HttpFailure {
        requireNonNull(step, "step");
        requireNonNull(peer, "peer");
        requireNonNull(detail, "detail");
    }

    /** The steps of a call. */
    public enum Step {
        /** Opening the connection. */
        CONNECT,
        /** Writing the request. */
        WRITE,
        /** Waiting for the answer and reading it. */
        READ
    }

    @Override
    public String toString() {
        return step.name().toLowerCase(Locale.ROOT) + " " + peer + ": " + detail;
    }
}
