package org.fuchsiadeck.core.routing;

/**
 * The expected end of a backend server that is about to leave.
 *
 * @param byMs when the server will be gone, in milliseconds; an assumed time if no reclaim notice gave one
 * @param noticed whether a reclaim notice of the platform gave the time
 * @param announced whether the server itself reported that it leaves; such a report is not overridden by a later list
 *     of servers
 * @param heldUntilMs until when a list that shows the server as live is ignored, in milliseconds
 */
public record Departure(long byMs, boolean noticed, boolean announced, long heldUntilMs) {
    /** Time that is assumed to be left to a leaving server without a reclaim notice, in milliseconds. */
    private static final long ASSUMED_NOTICE_MS = 5_000;

    /** Time after the end of the notice for which lists that show the server as live are ignored, in milliseconds. */
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
     * Returns whether the departure is still in force. A departure that the server reported itself stays in force for
     * as long as the server is listed, because a restarted server has another id.
     *
     * @param nowMs the time, in milliseconds
     * @param listed whether the server is on the current list
     * @return whether the departure is in force
     */
    boolean isInForce(long nowMs, boolean listed) {
        return nowMs < heldUntilMs || announced && listed;
    }
}
