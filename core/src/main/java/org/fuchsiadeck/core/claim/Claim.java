package org.fuchsiadeck.core.claim;

/**
 * A claim in the memory of an owner.
 *
 * @param id the claim
 * @param status what is known of it
 * @param sinceMs when it was made, in milliseconds of the owner's monotonic clock
 * @param expiresMs when it is forgotten, in milliseconds of the owner's monotonic clock
 */
record Claim(ClaimId id, ClaimStatus status, long sinceMs, long expiresMs) {
    boolean isActive(long nowMs) {
        return status != ClaimStatus.RELEASED && nowMs < expiresMs;
    }

    Claim merge(Claim other) {
        ClaimStatus later = status.compareTo(other.status) >= 0 ? status : other.status;
        return new Claim(id, later, Math.min(sinceMs, other.sinceMs), Math.max(expiresMs, other.expiresMs));
    }
}
