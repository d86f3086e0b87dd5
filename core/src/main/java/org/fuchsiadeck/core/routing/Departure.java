package org.fuchsiadeck.core.routing;

/**
 * That a backend server leaves.
 *
 * @param byMs when it is gone, in milliseconds; assumed if nothing tells
 * @param noticed whether the platform gave the time
 * @param heldUntilMs until when a list that calls the server live is not believed, in milliseconds
 */
public record Departure(long byMs, boolean noticed, long heldUntilMs) {
    private static final long ASSUMED_NOTICE_MS = 5_000;
    private static final long HOLD_MS = 300_000;

    static Departure assumed(long nowMs) {
        return new Departure(nowMs + ASSUMED_NOTICE_MS, false, nowMs + HOLD_MS);
    }

    static Departure noticed(long nowMs, long noticeMs) {
        return new Departure(nowMs + noticeMs, true, nowMs + noticeMs + HOLD_MS);
    }
}
