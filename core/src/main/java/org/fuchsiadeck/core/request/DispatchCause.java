package org.fuchsiadeck.core.request;

/**
 * Reason for which a request is dispatched to a backend server.
 */
public enum DispatchCause {
    /** First attempt. */
    FRESH,
    /** Retry after an attempt of which nothing was relayed to the caller. */
    RETRY,
    /** Continuation of a stream that was interrupted. */
    RESUME,
    /** Move away from a leaving server; the prompt and the tokens relayed so far are computed again. */
    MOVE,
    /** Move away from a leaving server; the new server imports its KV cache. */
    IMPORT
}
