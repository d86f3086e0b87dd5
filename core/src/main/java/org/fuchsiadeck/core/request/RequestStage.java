package org.fuchsiadeck.core.request;

/**
 * How far a request in progress has come. A request that has ended is no longer kept.
 */
public enum RequestStage {
    /** Waits for its idempotency key. */
    CLAIMING,
    /** Waits for a backend server. */
    QUEUED,
    /** Dispatched; as far as is known, no byte was written. */
    CONNECTING,
    /** Written, or being written; no byte of the answer came. */
    AWAITING,
    /** The answer has begun. */
    STREAMING,
    /** Its attempt was cancelled before it was known to be written; the data path will say how far it came. */
    CANCELLING
}
