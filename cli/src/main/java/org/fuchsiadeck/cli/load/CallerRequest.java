package org.fuchsiadeck.cli.load;

import java.util.Map;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Checks;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

/**
 * A request of a caller.
 *
 * @param to the entry node
 * @param method the HTTP method
 * @param path the path, encoded
 * @param headers the headers by name, besides those that every request has
 * @param body the body as JSON; empty for none
 */
record CallerRequest(Address to, String method, String path, Map<String, String> headers, String body) {
    static final String TEAM = "X-Team";
    static final String KEY = "Idempotency-Key";
    static final String REQUEST_ID = "X-Request-Id";

    CallerRequest {
        requireNonNull(to, "to");
        Checks.notBlank(method, "method");
        Checks.notBlank(path, "path");
        headers = Map.copyOf(headers);
        requireNonNull(body, "body");
    }

    HttpPacket packet() {
        HttpRequestPacket.Builder head = HttpRequestPacket.builder()
                .method(method)
                .uri(path)
                .protocol(Protocol.HTTP_1_1)
                .header("Host", to.toString());
        headers.forEach(head::header);
        if (body.isEmpty()) {
            return HttpContent.builder(head.build()).last(true).build();
        }
        byte[] bytes = body.getBytes(UTF_8);
        head.header("Content-Type", "application/json");
        return HttpContent.builder(head.contentLength(bytes.length).build())
                .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes))
                .last(true)
                .build();
    }
}
