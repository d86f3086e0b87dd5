package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.fuchsiadeck.core.request.CallerRequest.Completion;

/**
 * Reads what a caller asks of a model.
 *
 * @param completion what is asked
 * @param tokenLimit most tokens of the answer, as the caller names it; the greatest number if it names none, since the
 *     engine decides then
 * @param stream whether the answer is to be streamed
 */
record CompletionReader(Completion completion, int tokenLimit, boolean stream) {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final int BAD_REQUEST = 400;
    private static final int DEFAULT_MAX_TOKENS = 256;

    /**
     * Reads a body.
     *
     * @param body the body of a request to a route of kind {@code ENGINE}
     * @return what is asked
     * @throws BadCallException if the body is not a completion request
     */
    static CompletionReader read(byte[] body) throws BadCallException {
        JsonNode json = parse(body);
        refuse(json, "resume");
        refuse(json, "import");
        String model = text(json, "model").orElseThrow(() -> bad("model must be a string"));
        String prompt = text(json, "prompt").orElseThrow(() -> bad("prompt must be a string"));
        PromptPrefix.Result prefix = PromptPrefix.of(prompt);
        Completion completion =
                new Completion(model, text(json, "adapter"), prefix.hashes(), prefix.words(), maxTokens(json));
        int limit = json.has("max_tokens") ? completion.maxTokens() : Integer.MAX_VALUE;
        return new CompletionReader(completion, limit, stream(json));
    }

    private static JsonNode parse(byte[] body) throws BadCallException {
        try {
            JsonNode json = JSON.readTree(body);
            if (json.isObject()) {
                return json;
            }
        } catch (IOException e) {
            throw bad("the body is not JSON");
        }
        throw bad("the body must be a JSON object");
    }

    private static void refuse(JsonNode json, String name) throws BadCallException {
        if (json.has(name)) {
            throw bad(name + " is not for callers");
        }
    }

    private static Optional<String> text(JsonNode json, String name) throws BadCallException {
        JsonNode value = json.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return Optional.empty();
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw bad(name + " must be a string that is not blank");
        }
        return Optional.of(value.textValue());
    }

    private static int maxTokens(JsonNode json) throws BadCallException {
        JsonNode value = json.path("max_tokens");
        if (value.isMissingNode()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
            throw bad("max_tokens must be a whole number of 1 or more");
        }
        return value.intValue();
    }

    private static boolean stream(JsonNode json) throws BadCallException {
        JsonNode value = json.path("stream");
        if (value.isMissingNode()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw bad("stream must be true or false");
        }
        return value.booleanValue();
    }

    private static BadCallException bad(String detail) {
        return new BadCallException(BAD_REQUEST, "bad_body", detail);
    }
}
