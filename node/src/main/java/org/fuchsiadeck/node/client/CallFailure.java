package org.fuchsiadeck.node.client;

import org.fuchsiadeck.core.model.Address;

import static java.util.Objects.requireNonNull;

/**
 * Why a call had no good answer.
 *
 * @param peer the server
 * @param phase how far the call had come
 * @param detail what was seen
 */
public record CallFailure(Address peer, CallPhase phase, String detail) {
    public CallFailure {
        requireNonNull(peer, "peer");
        requireNonNull(phase, "step");
        requireNonNull(detail, "detail");
    }

    /** How far a call had come. */
    public enum CallPhase {
        /** No byte was written. */
        CONNECTING,
        /** No byte of the answer came. */
        AWAITING,
        /** The answer had begun. */
        READING
    }

    /** Returns the failure as one line. */
    @Override
    public String toString() {
        return peer + " " + phase + ": " + detail;
    }
}
