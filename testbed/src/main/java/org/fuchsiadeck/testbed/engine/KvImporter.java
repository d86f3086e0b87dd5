package org.fuchsiadeck.testbed.engine;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;

import org.fuchsiadeck.testbed.http.Json;

/**
 * Fetches the KV caches that other engines export.
 */
final class KvImporter {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    private KvImporter() {}

    /** Fetches a KV cache and hands it on, or null if it can't be had. */
    static void fetch(CompletionRequest.Import source, Consumer<KvHandles.Handle> next) {
        URI uri = URI.create("http://" + source.from() + "/v1/kv/handles/" + source.handle());
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
        CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(KvImporter::handle)
                .exceptionally(e -> null)
                .thenAccept(next);
    }

    private static KvHandles.Handle handle(HttpResponse<String> answer) {
        return answer.statusCode() == 200 ? Json.read(answer.body(), KvHandles.Handle.class) : null;
    }
}
