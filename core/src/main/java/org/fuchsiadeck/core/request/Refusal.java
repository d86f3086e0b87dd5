package org.fuchsiadeck.core.request;

import java.util.Map;

import static java.util.Objects.requireNonNull;

/**
 * The answer to a request that is refused without having been run.
 *
 * @param status the HTTP status
 * @param reason machine-readable reason
 * @param retryAfterMs time after which the caller should retry, in milliseconds; 0 for none
 * @param inputs values that the refusal is based on, by name, for the log
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
