package org.fuchsiadeck.core.request;

/**
 * Why a request was dispatched.
 */
public enum DispatchCause {
    /** For the first time. */
    FRESH,
    /** Again, after an attempt that gave the caller nothing. */
    RETRY,
    /** Again, to go on with a stream that was cut. */
    RESUME,
    /** Away from a leaving server, from the prompt and the journal. */
    MOVE,
    /** Away from a leaving server, with its KV cache. */
    IMPORT
}
