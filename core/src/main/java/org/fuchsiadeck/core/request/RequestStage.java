package org.fuchsiadeck.core.request;

/**
 * Stage of a request in progress. A request that has ended is removed from the state.
 */
public enum RequestStage {
    /** Waits for the claim on its idempotency key. */
    CLAIMING,
    /** Waits for a backend server. */
    QUEUED,
    /** Dispatched; no byte is known to have been written. */
    CONNECTING,
    /** Written or being written; no byte of the answer has arrived. */
    AWAITING,
    /** The answer has begun. */
    STREAMING,
    /**
     * The attempt was cancelled before the request was known to be written; the data path's report on how far it got is
     * awaited.
     */
    CANCELLING
}
