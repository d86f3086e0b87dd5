package org.fuchsiadeck.node.platform;

import static java.util.Objects.requireNonNull;

/**
 * A call to the platform's service that failed. A write may have taken effect all the same if it was sent.
 *
 * @param step what was called, such as {@code get config/current}
 * @param peer the service's address
 * @param detail what was seen
 * @param sent whether any byte of the call may have been written
 * @param reason the kind of failure
 */
public record PlatformFailure(String step, String peer, String detail, boolean sent, Reason reason) {
    public PlatformFailure {
        requireNonNull(step, "step");
        requireNonNull(peer, "peer");
        requireNonNull(detail, "detail");
        requireNonNull(reason, "reason");
    }

    /** The kinds of failures. */
    public enum Reason {
        /** No whole answer came, or the service has an outage; a write may have taken effect if it was sent. */
        NO_ANSWER,
        /** The service is over its rate and did not run the call. */
        REFUSED,
        /** The node's own call budget is used up; nothing was sent. */
        BUDGET,
        /** The value is too large, or the service did not understand the call. */
        INVALID
    }

    @Override
    public String toString() {
        return step + " at " + peer + ": " + detail;
    }

    /**
     * Tells whether a write that failed so may have taken effect.
     *
     * @return whether it may
     */
    public boolean maybeDone() {
        return sent && reason == Reason.NO_ANSWER;
    }
}
