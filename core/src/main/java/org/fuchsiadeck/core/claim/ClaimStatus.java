package org.fuchsiadeck.core.claim;

/**
 * The status of a claim as known to an owner. If two reports about the same claim differ, the constant declared later
 * takes precedence.
 */
public enum ClaimStatus {
    /** The request is not known to have ended. */
    PENDING,
    /** The request may have run. */
    UNKNOWN,
    /** The request was answered. */
    ANSWERED,
    /** The request was definitely not run. */
    RELEASED
}
