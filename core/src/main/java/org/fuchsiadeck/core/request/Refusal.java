package org.fuchsiadeck.core.request;

import static java.util.Objects.requireNonNull;

/**
 * That a request is refused as not run.
 *
 * @param status the HTTP status
 * @param reason the machine-readable reason
 * @param retryAfterMs when to come back, in milliseconds; 0 for no advice
 */
record Refusal(int status, String reason, long retryAfterMs) {
    private static final int UNAVAILABLE = 503;

    Refusal {
        requireNonNull(reason, "reason");
    }

    Refusal(String reason, long retryAfterMs) {
        this(UNAVAILABLE, reason, retryAfterMs);
    }
}
