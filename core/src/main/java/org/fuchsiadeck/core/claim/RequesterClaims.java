package org.fuchsiadeck.core.claim;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.RequestId;

/**
 * The claims of this node's own requests.
 *
 * @param lastNumber the number of the last claim
 * @param pending the undecided claims, by number
 * @param granted the granted claims whose requests have not ended, by request
 * @param settlements the outcomes that not all owners have acknowledged, by number of the claim
 */
record RequesterClaims(
        long lastNumber,
        TreeMap<Long, PendingClaim> pending,
        TreeMap<RequestId, GrantedClaim> granted,
        TreeMap<Long, PendingSettlement> settlements) {
    /**
     * An undecided claim.
     *
     * @param request the request that needs the claim
     * @param key the idempotency key
     * @param deadlineMs the time at which the claim is denied unless it has been granted, in milliseconds of the
     *     monotonic clock
     * @param verdicts the owners' verdicts so far, except the temporary ones {@code NOT_READY} and {@code STALE}
     */
    record PendingClaim(
            RequestId request, String key, long deadlineMs, HashMap<NodeId, ClaimMessage.Verdict> verdicts) {
        PendingClaim with(NodeId from, ClaimMessage.Verdict verdict) {
            return new PendingClaim(request, key, deadlineMs, verdicts.put(from, verdict));
        }
    }

    /**
     * A granted claim.
     *
     * @param number the number of the claim
     * @param key the idempotency key
     * @param owners the nodes that granted it
     * @param expiresMs the time at which the claim expires, in milliseconds of the monotonic clock
     */
    record GrantedClaim(long number, String key, HashSet<NodeId> owners, long expiresMs) {}

    /**
     * The outcome of a request, to be sent to the owners of its key.
     *
     * @param key the idempotency key
     * @param status the outcome
     * @param unacknowledged the owners that have not acknowledged the outcome
     * @param sendsLeft how many more times the outcome is sent
     */
    record PendingSettlement(String key, ClaimStatus status, HashSet<NodeId> unacknowledged, int sendsLeft) {}

    static RequesterClaims empty() {
        return new RequesterClaims(0, TreeMap.empty(), TreeMap.empty(), TreeMap.empty());
    }

    RequesterClaims with(long number, PendingClaim claim) {
        return new RequesterClaims(Math.max(lastNumber, number), pending.put(number, claim), granted, settlements);
    }

    RequesterClaims withoutPending(long number) {
        return new RequesterClaims(lastNumber, pending.remove(number), granted, settlements);
    }

    RequesterClaims with(RequestId request, GrantedClaim claim) {
        return new RequesterClaims(lastNumber, pending, granted.put(request, claim), settlements);
    }

    RequesterClaims withoutGranted(RequestId request) {
        return new RequesterClaims(lastNumber, pending, granted.remove(request), settlements);
    }

    RequesterClaims with(long number, PendingSettlement settlement) {
        TreeMap<Long, PendingSettlement> next = settlement.unacknowledged().isEmpty() || settlement.sendsLeft() == 0
                ? settlements.remove(number)
                : settlements.put(number, settlement);
        return new RequesterClaims(lastNumber, pending, granted, next);
    }

    RequesterClaims expire(long nowMs) {
        return new RequesterClaims(lastNumber, pending, granted.filterValues(g -> nowMs < g.expiresMs()), settlements);
    }
}
