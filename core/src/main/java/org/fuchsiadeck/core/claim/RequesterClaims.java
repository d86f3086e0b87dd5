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
 * @param pending claims not decided yet, by number
 * @param granted claims that were granted and whose requests have not ended
 * @param settlements ends of requests that not every owner has acknowledged, by number of the claim
 */
record RequesterClaims(
        long lastNumber,
        TreeMap<Long, PendingClaim> pending,
        TreeMap<RequestId, GrantedClaim> granted,
        TreeMap<Long, PendingSettlement> settlements) {
    /**
     * A claim that is not decided yet.
     *
     * @param request the request
     * @param key the idempotency key
     * @param deadlineMs when it is denied if it has not been granted
     * @param verdicts the answers so far, but those that may change soon
     */
    record PendingClaim(
            RequestId request, String key, long deadlineMs, HashMap<NodeId, ClaimMessage.Verdict> verdicts) {
        PendingClaim with(NodeId from, ClaimMessage.Verdict verdict) {
            return new PendingClaim(request, key, deadlineMs, verdicts.put(from, verdict));
        }
    }

    /**
     * A claim that was granted.
     *
     * @param number the claim's number
     * @param key the idempotency key
     * @param owners the nodes that granted it
     * @param expiresMs when the owners forget it
     */
    record GrantedClaim(long number, String key, HashSet<NodeId> owners, long expiresMs) {}

    /**
     * The end of a request.
     *
     * @param key the idempotency key
     * @param status how it ended
     * @param unacknowledged the owners that have not acknowledged it
     * @param sendsLeft how often it is still to be sent
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

    RequesterClaims with(long number, PendingSettlement end) {
        TreeMap<Long, PendingSettlement> next = end.unacknowledged().isEmpty() || end.sendsLeft() == 0
                ? settlements.remove(number)
                : settlements.put(number, end);
        return new RequesterClaims(lastNumber, pending, granted, next);
    }

    RequesterClaims expire(long nowMs) {
        return new RequesterClaims(lastNumber, pending, granted.filterValues(g -> nowMs < g.expiresMs()), settlements);
    }
}
