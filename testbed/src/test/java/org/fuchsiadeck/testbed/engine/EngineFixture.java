package org.fuchsiadeck.testbed.engine;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.Http;
import org.fuchsiadeck.testbed.http.Json;
import org.junit.jupiter.api.AfterEach;

/** Engines for tests, closed after each. */
abstract class EngineFixture {
    static final String PROMPT = "summarise the month of registers ".repeat(10);

    /** So slow that a request of a thousand tokens does not end by itself within a test. */
    static final CostModel SLOW = new CostModel(0, 100_000, 0, 0);

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    final List<EngineServer> engines = new ArrayList<>();

    @AfterEach
    void stop() {
        engines.forEach(EngineServer::close);
        timer.shutdownNow();
    }

    EngineServer start(EngineSettings settings, int slots) throws IOException {
        EngineState state = new EngineState("v1", List.of("m"), List.of(), null);
        EngineServer engine = new EngineServer("e" + engines.size(), state, slots, 0, settings, timer);
        engines.add(engine);
        engine.start();
        return engine;
    }

    EngineServer start(CostModel cost, int slots) throws IOException {
        return start(EngineSettings.with(cost), slots);
    }

    static String body(String prompt, int tokens, String more) {
        return "{\"model\":\"m\",\"prompt\":" + Json.write(prompt) + ",\"max_tokens\":" + tokens + ",\"stream\":true"
                + more + "}";
    }

    static Http.Answer complete(EngineServer e, String body, String... headers) {
        return Http.post(e.address(), "/v1/completions", body, headers);
    }

    static CompletableFuture<Http.Answer> completeAsync(EngineServer e, String body, String id) {
        return Http.sendAsync(Http.request(e.address(), "/v1/completions")
                .headers("X-Request-Id", id, "X-Attempt", "1")
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    static List<JsonNode> events(Http.Answer answer) {
        return answer.raw()
                .body()
                .lines()
                .filter(l -> l.startsWith("data: "))
                .map(l -> Json.read(l.substring(6), JsonNode.class))
                .toList();
    }

    static String text(List<JsonNode> events) {
        StringBuilder text = new StringBuilder();
        events.stream()
                .filter(e -> e.has("t"))
                .forEach(e -> text.append(e.get("t").asText()));
        return text.toString();
    }
}
