package org.fuchsiadeck.node.front;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.node.exchange.Refusal;

/**
 * Writes the answers that the node gives by itself.
 */
final class RefusalWriter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS_PER_SECOND = 1_000;

    private RefusalWriter() {}

    static byte[] json(Refusal refusal, String requestId) {
        ObjectNode json = JSON.createObjectNode()
                .put("error", refusal.reason())
                .put("outcome", name(refusal.outcome()))
                .put("detail", refusal.detail())
                .put("request", requestId)
                .put("retry_after_ms", refusal.retryAfterMs());
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] event(Refusal refusal, String requestId) {
        String json = new String(json(refusal, requestId), StandardCharsets.UTF_8);
        return ("data: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    static String name(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the value of the header {@code Retry-After}: whole seconds, rounded up. */
    static String retryAfter(Refusal refusal) {
        return String.valueOf((refusal.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
    }
}
