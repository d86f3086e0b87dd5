package org.fuchsiadeck.node.client;

import org.fuchsiadeck.core.model.Address;

import static java.util.Objects.requireNonNull;

/**
 * Reason why an HTTP call failed.
 *
 * @param peer the address of the server
 * @param phase the phase in which the call failed
 * @param detail a description of the failure
 */
public record CallFailure(Address peer, CallPhase phase, String detail) {
    public CallFailure {
        requireNonNull(peer, "peer");
        requireNonNull(phase, "step");
        requireNonNull(detail, "detail");
    }

    /** Phase of a call, by what had been written or received. */
    public enum CallPhase {
        /** The connection is not open yet, so no byte of the request has been written. */
        CONNECTING,
        /** No byte of the response has been received. */
        AWAITING,
        /** At least a part of the response has been received. */
        READING
    }

    /** Returns the failure as a single line of text. */
    @Override
    public String toString() {
        return peer + " " + phase + ": " + detail;
    }
}
