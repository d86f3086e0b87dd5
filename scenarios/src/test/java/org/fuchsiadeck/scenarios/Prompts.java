package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Requests to models, and their answers. */
final class Prompts {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Prompts() {}

    static String notice(String prompt, int maxTokens) {
        return JSON.createObjectNode()
                .put("model", "bangla-assistant")
                .put("prompt", prompt)
                .put("max_tokens", maxTokens)
                .put("stream", true)
                .toString();
    }

    /** Returns the text of a whole answer; fails if the answer is not whole. */
    static String text(Caller.Streamed answer) {
        StringBuilder text = new StringBuilder();
        int next = 0;
        boolean done = false;
        for (String event : answer.events()) {
            JsonNode json = read(event);
            if (json.has("done")) {
                done = true;
            } else if (json.path("i").asInt(-1) == next && !done) {
                text.append(json.path("t").asText());
                next++;
            } else {
                throw new AssertionError("token " + next + " expected, was " + event + " in " + answer);
            }
        }
        if (!done) {
            throw new AssertionError("the answer was cut: " + answer);
        }
        return text.toString();
    }

    private static JsonNode read(String event) {
        try {
            return JSON.readTree(event);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
