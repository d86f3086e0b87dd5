package org.fuchsiadeck.core.request;

import java.util.Locale;

/**
 * Why a request ends without an answer. Whether it is refused as not run or answered as of unknown outcome depends on
 * what has come of it, not on the reason.
 *
 * @param reason the machine-readable reason
 * @param timeout whether something took too long
 * @param detail one sentence for a person
 */
record EndReason(String reason, boolean timeout, String detail) {
    static final EndReason NO_BACKEND =
            new EndReason("no_backend", false, "No backend server that can serve the request is live.");
    static final EndReason DEADLINE = new EndReason("deadline", true, "The request's time is over.");
    static final EndReason DRAINING =
            new EndReason("draining", false, "The entry node stops before the request could end.");
    static final EndReason RETRY_BUDGET =
            new EndReason("retry_budget", false, "The attempt failed, and too many requests are retried already.");

    static EndReason of(Failure failure) {
        if (failure.kind() == Failure.Kind.NO_ROOM) {
            return new EndReason("node_full", false, text(failure));
        }
        String reason = "backend_" + failure.kind().name().toLowerCase(Locale.ROOT);
        return new EndReason(reason, failure.kind() == Failure.Kind.TIMEOUT, text(failure));
    }

    private static String text(Failure failure) {
        return failure.step() + " at " + failure.peer() + ": " + failure.detail();
    }
}
