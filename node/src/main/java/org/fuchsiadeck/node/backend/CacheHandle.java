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
 * A KV cache that an engine has exported.
 *
 * @param engine the engine that keeps it
 * @param handle the engine's name for it
 */
public record CacheHandle(Address engine, String handle) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BYTES = 4_096;

    /**
     * Has an engine stop a request and export its KV cache.
     *
     * @param client makes the connection
     * @param engine the engine
     * @param id the request
     * @param result takes the cache, or nothing if the engine did not export it; called once
     */
    static void export(HttpClient client, Address engine, RequestId id, Consumer<Optional<CacheHandle>> result) {
        SimpleHttpCall.post(
                client,
                engine,
                "/v1/kv/export/" + id,
                MAX_BYTES,
                answer -> result.accept(answer.fold(failure -> Optional.empty(), body -> read(engine, body))));
    }

    private static Optional<CacheHandle> read(Address engine, byte[] body) {
        try {
            JsonNode handle = JSON.readTree(body).path("handle");
            return handle.isTextual() ? Optional.of(new CacheHandle(engine, handle.asText())) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
