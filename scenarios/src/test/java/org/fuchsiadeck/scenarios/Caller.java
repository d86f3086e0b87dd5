package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

/** A caller that talks to one entry node. */
final class Caller {
    private static final Duration LIMIT = Duration.ofSeconds(30);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(LIMIT)
            .build();
    private final String base;
    private final String team;

    Caller(int port, String team) {
        this.base = "http://127.0.0.1:" + port;
        this.team = team;
    }

    Answer post(String path, String json, Optional<String> key) {
        return postLater(path, json, key).join();
    }

    CompletableFuture<Answer> postLater(String path, String json, Optional<String> key) {
        return http.sendAsync(request(path, json, key), BodyHandlers.ofString())
                .handle((answer, error) -> error == null ? Answer.of(answer) : Answer.lost(error));
    }

    /** Sends an entry of a meal. */
    Answer enter(String entry, Optional<String> key) {
        return enterLater(entry, key).join();
    }

    CompletableFuture<Answer> enterLater(String entry, Optional<String> key) {
        return postLater("/registers/school-1/entries", "{\"entry\":\"" + entry + "\"}", key);
    }

    Answer get(String path) {
        return getLater(path).join();
    }

    CompletableFuture<Answer> getLater(String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(base + path))
                .timeout(LIMIT)
                .header("X-Team", team)
                .build();
        return http.sendAsync(request, BodyHandlers.ofString())
                .handle((answer, error) -> error == null ? Answer.of(answer) : Answer.lost(error));
    }

    CompletableFuture<Streamed> stream(String path, String json) {
        return stream(path, json, n -> {});
    }

    /** Reads a stream; the given action takes the number of events read after each. */
    CompletableFuture<Streamed> stream(String path, String json, IntConsumer progress) {
        return http.sendAsync(request(path, json, Optional.empty()), BodyHandlers.ofLines())
                .thenApplyAsync(answer -> Streamed.read(answer, progress))
                .exceptionally(Streamed::lost);
    }

    private HttpRequest request(String path, String json, Optional<String> key) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(base + path))
                .timeout(LIMIT)
                .header("X-Team", team)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(json));
        key.ifPresent(k -> request.header("Idempotency-Key", k));
        return request.build();
    }

    /**
     * A plain answer.
     *
     * @param status the HTTP status; 0 if none came
     * @param outcome the {@code X-Outcome} header, or an empty text
     * @param retryAfter the {@code Retry-After} header
     * @param body the body
     */
    record Answer(int status, String outcome, Optional<String> retryAfter, String body) {
        static Answer of(HttpResponse<String> answer) {
            return new Answer(
                    answer.statusCode(),
                    answer.headers().firstValue("X-Outcome").orElse(""),
                    answer.headers().firstValue("Retry-After"),
                    answer.body());
        }

        static Answer lost(Throwable error) {
            return new Answer(0, "", Optional.empty(), error.toString());
        }

        boolean good() {
            return status >= 200 && status < 300;
        }

        boolean notRun() {
            return outcome.equals("not-run");
        }

        boolean unknown() {
            return outcome.equals("unknown");
        }

        boolean duplicate() {
            return outcome.equals("duplicate");
        }

        boolean alreadyAnswered() {
            return duplicate() && body.contains("already_answered");
        }
    }

    /**
     * A streamed answer.
     *
     * @param status the HTTP status; 0 if none came
     * @param events the data of the events, in order
     */
    record Streamed(int status, List<String> events) {
        static Streamed read(HttpResponse<Stream<String>> answer, IntConsumer progress) {
            List<String> events = new ArrayList<>();
            try (Stream<String> lines = answer.body()) {
                lines.filter(l -> l.startsWith("data: "))
                        .map(l -> l.substring("data: ".length()))
                        .forEach(event -> {
                            events.add(event);
                            progress.accept(events.size());
                        });
            } catch (RuntimeException e) {
                events.add("{\"cut\":\"" + e.getClass().getSimpleName() + "\"}");
            }
            return new Streamed(answer.statusCode(), events);
        }

        static Streamed lost(Throwable error) {
            return new Streamed(0, List.of(String.valueOf(error instanceof IOException ? "io" : error)));
        }
    }
}
