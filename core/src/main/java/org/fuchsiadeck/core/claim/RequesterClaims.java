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
 * @param settling the outcomes that not all owners have acknowledged, by number of the claim
 */
record RequesterClaims(
        long lastNumber,
        TreeMap<Long, PendingClaim> pending,
        TreeMap<RequestId, GrantedClaim> granted,
        TreeMap<Long, PendingSettlement> settling) {
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
     * @param untilMs the time at which the claim expires, in milliseconds of the monotonic clock
     */
    record GrantedClaim(long number, String key, HashSet<NodeId> owners, long untilMs) {}

    /**
     * The outcome of a request, to be sent to the owners of its key.
     *
     * @param key the idempotency key
     * @param status the outcome
     * @param left the owners that have not acknowledged the outcome
     * @param triesLeft how many more times the outcome is sent
     */
    record PendingSettlement(String key, ClaimStatus status, HashSet<NodeId> left, int triesLeft) {}

    static RequesterClaims empty() {
        return new RequesterClaims(0, TreeMap.empty(), TreeMap.empty(), TreeMap.empty());
    }

    RequesterClaims with(long number, PendingClaim claim) {
        return new RequesterClaims(Math.max(lastNumber, number), pending.put(number, claim), granted, settling);
    }

    RequesterClaims withoutPending(long number) {
        return new RequesterClaims(lastNumber, pending.remove(number), granted, settling);
    }

    RequesterClaims with(RequestId request, GrantedClaim claim) {
        return new RequesterClaims(lastNumber, pending, granted.put(request, claim), settling);
    }

    RequesterClaims withoutGranted(RequestId request) {
        return new RequesterClaims(lastNumber, pending, granted.remove(request), settling);
    }

    RequesterClaims with(long number, PendingSettlement settlement) {
        TreeMap<Long, PendingSettlement> next = settlement.left().isEmpty() || settlement.triesLeft() == 0
                ? settling.remove(number)
                : settling.put(number, settlement);
        return new RequesterClaims(lastNumber, pending, granted, next);
    }

    RequesterClaims expire(long nowMs) {
        return new RequesterClaims(lastNumber, pending, granted.filterValues(g -> nowMs < g.untilMs()), settling);
    }
}
