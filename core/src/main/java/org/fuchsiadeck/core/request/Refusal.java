package org.fuchsiadeck.core.request;

import java.util.Map;

import static java.util.Objects.requireNonNull;

/**
 * That a request is refused as not run.
 *
 * @param status the HTTP status
 * @param reason the machine-readable reason
 * @param retryAfterMs when to come back, in milliseconds; 0 for no advice
 * @param inputs what decided it, by name, for the log
 */
record Refusal(int status, String reason, long retryAfterMs, Map<String, Object> inputs) {
    private static final int UNAVAILABLE = 503;

    Refusal {
        requireNonNull(reason, "reason");
        requireNonNull(inputs, "inputs");
    }

    Refusal(int status, String reason, long retryAfterMs) {
        this(status, reason, retryAfterMs, Map.of());
    }

    Refusal(String reason, long retryAfterMs) {
        this(UNAVAILABLE, reason, retryAfterMs);
    }
}
