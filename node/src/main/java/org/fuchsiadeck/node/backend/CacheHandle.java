package org.fuchsiadeck.node.backend;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.client.SimpleHttpCall;

/**
 * Identifies a KV cache that an engine has exported.
 *
 * @param engine the engine that stores the cache
 * @param handle the engine's identifier of the cache
 */
public record CacheHandle(Address engine, String handle) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ANSWER_BYTES = 4_096;

    /**
     * Makes an engine stop a request and export its KV cache.
     *
     * @param client opens the connection
     * @param engine the engine
     * @param id the request
     * @param result receives the cache, or empty if the engine did not export it; called exactly once
     */
    static void export(HttpClient client, Address engine, RequestId id, Consumer<Optional<CacheHandle>> result) {
        SimpleHttpCall.post(
                client,
                engine,
                "/v1/kv/export/" + id,
                MAX_ANSWER_BYTES,
                answer -> result.accept(answer.fold(failure -> Optional.empty(), body -> parse(engine, body))));
    }

    private static Optional<CacheHandle> parse(Address engine, byte[] body) {
        try {
            JsonNode handle = JSON.readTree(body).path("handle");
            return handle.isTextual() ? Optional.of(new CacheHandle(engine, handle.asText())) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
