package org.fuchsiadeck.core.claim;

/**
 * What an owner knows of a claim. Of two statements about the same claim the later in this order holds.
 */
public enum ClaimStatus {
    /** The request has not ended as far as is known. */
    PENDING,
    /** The request may have run. */
    UNKNOWN,
    /** The request was answered. */
    ANSWERED,
    /** The request was certainly not run. */
    RELEASED
}
