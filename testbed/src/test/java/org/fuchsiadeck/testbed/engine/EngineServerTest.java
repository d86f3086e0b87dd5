package org.fuchsiadeck.testbed.engine;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiadeck.testbed.Http;
import org.fuchsiadeck.testbed.Until;
import org.fuchsiadeck.testbed.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class EngineServerTest extends EngineFixture {
    @Test
    void streamsTheTokensOfVersionPromptAndPosition() throws IOException {
        EngineServer engine = start(CostModel.free(), 4);
        Http.Answer answer = complete(engine, body(PROMPT, 40, ""), "X-Request-Id", "r1", "X-Attempt", "2");
        List<JsonNode> events = events(answer);
        assertThat(text(events)).isEqualTo(Tokens.text("v1", PROMPT, 40));
        assertThat(events.get(40).get("done").asBoolean()).isTrue();
        assertThat(events.get(40).get("prompt_tokens").asInt()).isEqualTo(50);
        assertThat(answer.header("X-Request-Id")).isEqualTo("r1");
        assertThat(answer.header("X-Attempt")).isEqualTo("2");
        assertThat(answer.header("X-Version")).isEqualTo("v1");
        assertThat(answer.header("X-Load")).matches("running=\\d+;queued=0;age_ms=\\d+;leaving=0");
    }

    @Test
    void resumesWithTheSameTokensAsAnUninterruptedAnswer() throws IOException {
        EngineServer engine = start(CostModel.free(), 4);
        String before = Tokens.text("v1", PROMPT, 12);
        String resume = ",\"resume\":{\"text\":" + Json.write(before) + ",\"tokens\":12}";
        List<JsonNode> events = events(complete(engine, body(PROMPT, 40, resume)));
        assertThat(before + text(events)).isEqualTo(Tokens.text("v1", PROMPT, 40));
        assertThat(events.get(0).get("i").asInt()).isEqualTo(12);
        assertThat(events.get(28).get("tokens").asInt()).isEqualTo(40);
        assertThat(events.get(28).get("recomputed_tokens").asInt()).isEqualTo(62);
        assertThat(engine.audit().tokensRecomputed()).isEqualTo(62);
    }

    @Test
    void computesOnlyWhatThePrefixCacheLacks() throws IOException {
        EngineServer engine = start(CostModel.free(), 4);
        complete(engine, body(PROMPT, 4, ""));
        JsonNode done =
                events(complete(engine, body(PROMPT + "and more", 1, ""))).get(1);
        assertThat(done.get("cached_tokens").asInt()).isEqualTo(48);
        assertThat(done.get("recomputed_tokens").asInt()).isEqualTo(4);
        assertThat(Http.get(engine.address(), "/v1/cache/events?after=0").body().get("events"))
                .hasSize(3);
    }

    @Test
    void forgetsTheLeastRecentlyUsedPrefix() throws IOException {
        EngineSettings small = new EngineSettings(CostModel.free(), 3, 0, 0, 0, 0, false, 0, 0);
        EngineServer engine = start(small, 4);
        complete(engine, body(PROMPT, 1, ""));
        complete(engine, body("another " + PROMPT, 1, ""));
        JsonNode done = events(complete(engine, body(PROMPT, 1, ""))).get(1);
        assertThat(done.get("cached_tokens").asInt()).isZero();
    }

    @Test
    void importsTheCacheThatAnotherEngineExports() throws IOException {
        EngineServer from = start(new CostModel(0, 2_000, 0, 0), 4);
        EngineServer to = start(CostModel.free(), 4);
        CompletableFuture<Http.Answer> first = completeAsync(from, body(PROMPT, 100_000, ""), "r1");
        Until.isTrue(() -> from.audit().tokensComputed() > 55);
        JsonNode export = Http.post(from.address(), "/v1/kv/export/r1", "").body();
        List<JsonNode> before = events(first.join());
        int tokens = export.get("tokens").asInt();
        assertThat(before).hasSize(tokens).noneMatch(e -> e.has("done"));
        String more = ",\"resume\":{\"text\":" + Json.write(text(before)) + ",\"tokens\":" + tokens
                + "},\"import\":{\"from\":\"" + from.address() + "\",\"handle\":"
                + export.get("handle") + "}";
        List<JsonNode> after = events(complete(to, body(PROMPT, tokens + 3, more)));
        assertThat(text(before) + text(after)).isEqualTo(Tokens.text("v1", PROMPT, tokens + 3));
        assertThat(after.get(3).get("recomputed_tokens").asInt()).isZero();
    }

    @Test
    void recomputesWhenTheImportFails() throws IOException {
        EngineServer engine = start(CostModel.free(), 4);
        String more = ",\"import\":{\"from\":\"" + engine.address() + "\",\"handle\":\"none\"}";
        JsonNode done = events(complete(engine, body(PROMPT, 1, more))).get(1);
        assertThat(done.get("recomputed_tokens").asInt()).isEqualTo(50);
    }

    @Test
    void cancelFreesTheSlotForTheNextRequest() throws IOException {
        EngineServer engine = start(SLOW, 1);
        CompletableFuture<Http.Answer> first = completeAsync(engine, body(PROMPT, 1_000, ""), "r1");
        Until.isTrue(() -> engine.running() == 1);
        completeAsync(engine, body(PROMPT, 1_000, ""), "r2");
        Until.isTrue(() -> engine.queued() == 1);
        Http.post(engine.address(), "/v1/cancel/r1", "");
        assertThat(events(first.join())).noneMatch(e -> e.has("done"));
        Until.isTrue(() -> engine.audit().started().containsKey("r2/1"));
        assertThat(engine.audit().started()).containsEntry("r1/1", 1);
    }

    @Test
    void cancelledBeforeItRanIsAnsweredAsNotRun() throws IOException {
        EngineServer engine = start(SLOW, 1);
        completeAsync(engine, body(PROMPT, 1_000, ""), "r1");
        Until.isTrue(() -> engine.running() == 1);
        CompletableFuture<Http.Answer> second = completeAsync(engine, body(PROMPT, 1_000, ""), "r2");
        Until.isTrue(() -> engine.queued() == 1);
        Http.post(engine.address(), "/v1/cancel/r2", "");
        assertThat(second.join().header("X-Not-Run")).isEqualTo("1");
        assertThat(engine.audit().started()).doesNotContainKey("r2/1");
    }

    private static Socket open(EngineServer engine, String body) throws IOException {
        Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(engine.address().split(":")[1]));
        String head = "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: " + body.length() + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    @Test
    void closedConnectionFreesTheSlot() throws IOException {
        EngineServer engine = start(new CostModel(0, 1_000, 0, 0), 1);
        try (Socket socket = open(engine, body(PROMPT, 1_000_000, ""))) {
            assertThat(socket.getInputStream().read()).isEqualTo('H');
            assertThat(engine.running()).isEqualTo(1);
        }
        Until.isTrue(() -> engine.running() == 0);
    }

    @Test
    void closedConnectionTakesAWaitingRequestOutOfTheQueue() throws IOException {
        EngineServer engine = start(SLOW, 1);
        completeAsync(engine, body(PROMPT, 1_000, ""), "r1");
        Until.isTrue(() -> engine.running() == 1);
        try (Socket socket = open(engine, body(PROMPT, 1_000, ""))) {
            Until.isTrue(() -> engine.queued() == 1);
            assertThat(socket.isConnected()).isTrue();
        }
        Until.isTrue(() -> engine.queued() == 0);
    }

    @Test
    void stopsGeneratingForAReaderThatLagsBehind() throws IOException {
        EngineServer engine = start(CostModel.free(), 2);
        try (Socket socket = open(engine, body(PROMPT, 2_000_000, ""))) {
            Until.isTrue(() -> isStalled(engine));
            assertThat(engine.audit().tokensComputed()).isLessThan(2_000_000);
            assertThat(socket.getInputStream().readNBytes(20_000_000)).hasSize(20_000_000);
        }
    }

    /** Tells whether the loop computes nothing for others while it answers one request. */
    private static boolean isStalled(EngineServer engine) {
        long before = engine.audit().tokensComputed();
        complete(engine, body("p", 10, ""));
        return engine.audit().tokensComputed() - before == 11;
    }

    @Test
    void runsTheGreaterPriorityFirst() throws IOException {
        EngineServer engine = start(SLOW, 1);
        completeAsync(engine, body(PROMPT, 1_000, ""), "r0");
        Until.isTrue(() -> engine.running() == 1);
        completeAsync(engine, body(PROMPT, 1_000, ""), "low");
        Until.isTrue(() -> engine.queued() == 1);
        Http.sendAsync(Http.request(engine.address(), "/v1/completions")
                .headers("X-Request-Id", "high", "X-Attempt", "1", "X-Priority", "9")
                .POST(HttpRequest.BodyPublishers.ofString(body(PROMPT, 1_000, ""))));
        Until.isTrue(() -> engine.queued() == 2);
        Http.post(engine.address(), "/v1/cancel/r0", "");
        Until.isTrue(() -> engine.audit().started().size() == 2);
        assertThat(engine.audit().started()).containsKey("high/1");
    }

    @Test
    void heedsTheFenceOrIgnoresIt() throws IOException {
        EngineServer heeds = start(CostModel.free(), 1);
        EngineServer ignores = start(new EngineSettings(CostModel.free(), 0, 0, 0, 0, 0, true, 0, 0), 1);
        String newer = "{\"fence\":7,\"wanted\":{\"version\":\"v2\",\"models\":[\"m\"]}}";
        String older = "{\"fence\":6,\"wanted\":{\"version\":\"v1\",\"models\":[\"m\"]}}";
        for (EngineServer engine : engines) {
            assertThat(Http.post(engine.address(), "/v1/orders", newer).status())
                    .isEqualTo(200);
            Until.isTrue(() -> engine.state().version().equals("v2"));
        }
        Http.Answer refused = Http.post(heeds.address(), "/v1/orders", older);
        assertThat(refused.status()).isEqualTo(409);
        assertThat(refused.body().get("fence").asInt()).isEqualTo(7);
        assertThat(Http.post(ignores.address(), "/v1/orders", older).status()).isEqualTo(200);
        Until.isTrue(() -> ignores.state().version().equals("v1"));
        assertThat(complete(heeds, body("p", 2, "")).header("X-Version")).isEqualTo("v2");
    }

    @Test
    void refusesAsNotRunWhatItDoesNotHold() throws IOException {
        EngineServer engine = start(CostModel.free(), 1);
        Http.Answer answer = complete(engine, body("p", 1, ",\"adapter\":\"a\""));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("X-Not-Run")).isEqualTo("1");
        assertThat(engine.audit().started()).isEmpty();
    }

    @Test
    void keepsWorkingWhileItLeavesAndDiesAtTheEnd() throws IOException {
        EngineServer engine = start(CostModel.free(), 1);
        engine.leave(500);
        Http.Answer answer = complete(engine, body("p", 2, ""), "X-Request-Id", "r");
        assertThat(answer.header("X-Load")).endsWith("leaving=1");
        assertThat(events(answer)).hasSize(3);
        assertThat(engine.audit().lastStartAfterLeavingMs()).isNotNegative();
        Until.isTrue(() -> !engine.isRunning());
    }

    @Test
    void killedEngineCutsItsStreamsAndForgetsItsCache() throws IOException {
        EngineServer engine = start(SLOW, 2);
        CompletableFuture<Http.Answer> cut = completeAsync(engine, body(PROMPT, 1_000, ""), "r1");
        Until.isTrue(() -> engine.audit().tokensComputed() > 52);
        engine.kill();
        assertThat(cut.handle((answer, e) -> e).join()).isNotNull();
        engine.start();
        JsonNode done = events(complete(engine, body(PROMPT, 1, ""))).get(1);
        assertThat(done.get("cached_tokens").asInt()).isZero();
        assertThat(engine.audit().started()).containsEntry("r1/1", 1);
    }
}
