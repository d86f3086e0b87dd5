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
 * @param settling ends of requests that not every owner has acknowledged, by number of the claim
 */
record Asking(
        long lastNumber,
        TreeMap<Long, Pending> pending,
        TreeMap<RequestId, Granted> granted,
        TreeMap<Long, Settling> settling) {
    /**
     * A claim that is not decided yet.
     *
     * @param request the request
     * @param key the idempotency key
     * @param deadlineMs when it is denied if it has not been granted
     * @param verdicts the answers so far, but those that may change soon
     */
    record Pending(RequestId request, String key, long deadlineMs, HashMap<NodeId, ClaimMessage.Verdict> verdicts) {
        Pending with(NodeId from, ClaimMessage.Verdict verdict) {
            return new Pending(request, key, deadlineMs, verdicts.put(from, verdict));
        }
    }

    /**
     * A claim that was granted.
     *
     * @param number the claim's number
     * @param key the idempotency key
     * @param owners the nodes that granted it
     * @param untilMs when the owners forget it
     */
    record Granted(long number, String key, HashSet<NodeId> owners, long untilMs) {}

    /**
     * The end of a request.
     *
     * @param key the idempotency key
     * @param status how it ended
     * @param left the owners that have not acknowledged it
     * @param triesLeft how often it is still to be sent
     */
    record Settling(String key, ClaimStatus status, HashSet<NodeId> left, int triesLeft) {}

    static Asking none() {
        return new Asking(0, TreeMap.empty(), TreeMap.empty(), TreeMap.empty());
    }

    Asking with(long number, Pending claim) {
        return new Asking(Math.max(lastNumber, number), pending.put(number, claim), granted, settling);
    }

    Asking withoutPending(long number) {
        return new Asking(lastNumber, pending.remove(number), granted, settling);
    }

    Asking with(RequestId request, Granted claim) {
        return new Asking(lastNumber, pending, granted.put(request, claim), settling);
    }

    Asking withoutGranted(RequestId request) {
        return new Asking(lastNumber, pending, granted.remove(request), settling);
    }

    Asking with(long number, Settling end) {
        TreeMap<Long, Settling> next =
                end.left().isEmpty() || end.triesLeft() == 0 ? settling.remove(number) : settling.put(number, end);
        return new Asking(lastNumber, pending, granted, next);
    }

    Asking expire(long nowMs) {
        return new Asking(lastNumber, pending, granted.filterValues(g -> nowMs < g.untilMs()), settling);
    }
}
