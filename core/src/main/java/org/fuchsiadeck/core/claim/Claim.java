package org.fuchsiadeck.core.claim;

/**
 * A claim on an idempotency key, as stored by an owner of the key.
 *
 * @param id the identifier of the claim
 * @param status the last known status
 * @param sinceMs the time at which the claim was made, in milliseconds of the owner's monotonic clock
 * @param expiresMs the time at which the owner drops the claim, in milliseconds of the owner's monotonic clock
 */
record Claim(ClaimId id, ClaimStatus status, long sinceMs, long expiresMs) {
    /** Returns whether the claim prevents other claims on its key from being granted. */
    boolean isActive(long nowMs) {
        return status != ClaimStatus.RELEASED && nowMs < expiresMs;
    }

    /** Combines two records of the same claim: the later status, the earliest start and the latest expiry. */
    Claim merge(Claim other) {
        ClaimStatus later = status.compareTo(other.status) >= 0 ? status : other.status;
        return new Claim(id, later, Math.min(sinceMs, other.sinceMs), Math.max(expiresMs, other.expiresMs));
    }
}
