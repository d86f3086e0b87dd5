package org.fuchsiadeck.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.http.Json;

/** A caller for tests. */
public final class Http {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private Http() {}

    /** An answer with its body read as JSON. */
    public record Answer(int status, JsonNode body, HttpResponse<String> raw) {
        public String header(String name) {
            return raw.headers().firstValue(name).orElse("");
        }
    }

    public static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    public static Answer send(HttpRequest.Builder request) {
        try {
            return answer(CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static CompletableFuture<Answer> sendAsync(HttpRequest.Builder request) {
        return CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(Http::answer);
    }

    public static Answer get(String address, String path) {
        return send(request(address, path));
    }

    public static Answer post(String address, String path, String body, String... headers) {
        HttpRequest.Builder request = request(address, path).POST(HttpRequest.BodyPublishers.ofString(body));
        return send(headers.length == 0 ? request : request.headers(headers));
    }

    public static Answer put(String address, String path, String body) {
        return send(request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    public static Answer delete(String address, String path) {
        return send(request(address, path).DELETE());
    }

    private static Answer answer(HttpResponse<String> raw) {
        boolean json = raw.headers().firstValue("Content-Type").orElse("").startsWith("application/json");
        return new Answer(raw.statusCode(), json ? Json.read(raw.body(), JsonNode.class) : null, raw);
    }
}
