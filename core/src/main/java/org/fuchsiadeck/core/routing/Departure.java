package org.fuchsiadeck.core.routing;

/**
 * That a backend server leaves.
 *
 * @param byMs when it is gone, in milliseconds; assumed if nothing tells
 * @param noticed whether the platform gave the time
 * @param announced whether the server itself said so, which no list takes back
 * @param heldUntilMs until when a list that calls the server live is not believed, in milliseconds
 */
public record Departure(long byMs, boolean noticed, boolean announced, long heldUntilMs) {
    private static final long ASSUMED_NOTICE_MS = 5_000;
    private static final long HOLD_MS = 300_000;

    static Departure assumed(long nowMs) {
        return new Departure(nowMs + ASSUMED_NOTICE_MS, false, false, nowMs + HOLD_MS);
    }

    static Departure noticed(long nowMs, long noticeMs) {
        return new Departure(nowMs + noticeMs, true, false, nowMs + noticeMs + HOLD_MS);
    }

    Departure asAnnounced() {
        return new Departure(byMs, noticed, true, heldUntilMs);
    }

    /**
     * Tells whether the departure still holds. What a server announced holds for as long as it is listed: a new start
     * of the server has another id.
     *
     * @param nowMs the time, in milliseconds
     * @param listed whether the server is listed
     * @return whether it holds
     */
    boolean isInForce(long nowMs, boolean listed) {
        return nowMs < heldUntilMs || announced && listed;
    }
}
