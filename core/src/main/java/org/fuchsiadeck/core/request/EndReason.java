package org.fuchsiadeck.core.request;

import java.util.Locale;

/**
 * The reason why a request ends without an answer from a backend server. The reason does not decide whether the
 * request is refused as not run or answered as of unknown outcome: that depends on its earlier attempts.
 *
 * @param reason machine-readable reason
 * @param timeout whether a timeout was exceeded
 * @param detail one human-readable sentence
 */
record EndReason(String reason, boolean timeout, String detail) {
    static final EndReason NO_BACKEND =
            new EndReason("no_backend", false, "No live backend server can serve the request.");
    static final EndReason DEADLINE = new EndReason("deadline", true, "The request's deadline has passed.");
    static final EndReason DRAINING =
            new EndReason("draining", false, "The entry node shut down before the request was completed.");
    static final EndReason RETRY_BUDGET =
            new EndReason("retry_budget", false, "The attempt failed and the retry budget is exhausted.");

    static EndReason of(Failure failure) {
        if (failure.kind() == Failure.Kind.NO_ROOM) {
            return new EndReason("node_full", false, text(failure));
        }
        if (failure.kind() == Failure.Kind.NODE_BEHIND) {
            return new EndReason("node_behind", false, text(failure));
        }
        String reason = "backend_" + failure.kind().name().toLowerCase(Locale.ROOT);
        return new EndReason(reason, failure.kind() == Failure.Kind.TIMEOUT, text(failure));
    }

    private static String text(Failure failure) {
        return failure.step() + " at " + failure.peer() + ": " + failure.detail();
    }
}
