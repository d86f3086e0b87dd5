package org.fuchsiadeck.node;

import java.util.List;

import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.Caller;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.Sockets;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NodeTest {
    private static final String PROMPT = "{\"model\":\"m\",\"prompt\":\"hello\",\"stream\":true}";

    @Test
    void passesAPlainAnswerOnWhole() throws Exception {
        try (FakeServer backend = new FakeServer((m, s) -> FakeServer.plain(m, s, 201, "{\"entry\":\"é\"}"));
                TestNode node = new TestNode(backend);
                Caller caller = node.caller()) {
            caller.post("/registers/7/entries?day=2", "{\"child\":\"রহিম\"}", "X-Request-Id: r1", "Idempotency-Key: k");
            Sockets.Message answer = caller.answer();
            assertThat(answer.status()).isEqualTo(201);
            assertThat(answer.text()).isEqualTo("{\"entry\":\"é\"}");
            assertThat(answer.header("Content-Type")).startsWith("application/json");
            assertThat(answer.header("X-Request-Id")).isEqualTo("r1");
            Sockets.Message sent = backend.received.get(0);
            assertThat(sent.start()).isEqualTo("POST /registers/7/entries?day=2 HTTP/1.1");
            assertThat(sent.text()).isEqualTo("{\"child\":\"রহিম\"}");
            assertThat(sent.header("X-Attempt")).isEqualTo("1");
            assertThat(sent.header("Idempotency-Key")).isEqualTo("k");
            assertThat(sent.header("X-Route")).isEqualTo("entries");
            assertThat(sent.header("X-Priority")).isEqualTo("5");
        }
    }

    @Test
    void passesAStreamOnByteForByte() throws Exception {
        try (FakeServer backend = new FakeServer(NodeTest::stream);
                TestNode node = new TestNode(backend);
                Caller caller = node.caller()) {
            Sockets.Message answer = caller.post("/assistant", PROMPT).answer();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.header("Content-Type")).startsWith("text/event-stream");
            assertThat(answer.text())
                    .isEqualTo("data: {\"i\":0,\"t\":\"নমস্কার \"}\n\n"
                            + "data: {\"i\":1,\"t\":\"\\u0995\"}\n\n"
                            + "data: {\"done\":true,\"tokens\":2,\"recomputed_tokens\":0}\n\n");
            assertThat(backend.received.get(0).start()).isEqualTo("POST /v1/completions HTTP/1.1");
        }
    }

    private static void stream(Sockets.Message request, java.net.Socket socket) throws java.io.IOException {
        FakeServer.streamHead(request, socket);
        FakeServer.token(socket, 0, "নমস্কার ");
        FakeServer.token(socket, 1, "\\u0995");
        FakeServer.done(socket, 2);
    }

    @Test
    void servesSeveralRequestsOnOneConnectionEvenWhenSentAhead() throws Exception {
        try (FakeServer backend = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, m.start()));
                TestNode node = new TestNode(backend);
                Caller caller = node.caller()) {
            for (String register : List.of("1", "2", "3")) {
                caller.get("/registers/" + register);
            }
            for (String register : List.of("1", "2", "3")) {
                assertThat(caller.answer().text()).contains("/registers/" + register + " ");
            }
            caller.get("/registers/4");
            assertThat(caller.answer().text()).contains("/registers/4 ");
        }
    }

    @Test
    void noticesACallerWhoLeavesAndClosesTheAttempt() throws Exception {
        try (FakeServer backend = new FakeServer((m, s) -> s.getInputStream().read());
                TestNode node = new TestNode(backend)) {
            try (Caller caller = node.caller()) {
                caller.get("/registers/1");
                Await.until("the request was written", () -> !backend.received.isEmpty());
            }
            Await.until(
                    "the caller is gone",
                    () -> !node.events(RequestEvent.CallerGone.class).isEmpty());
            Await.until("the attempt is closed", backend::allClosed);
        }
    }

    @Test
    void stopsOnceWhatIsInProgressIsAnswered() throws Exception {
        java.util.concurrent.CountDownLatch go = new java.util.concurrent.CountDownLatch(1);
        try (FakeServer backend = new FakeServer((m, s) -> {
                    awaitQuietly(go);
                    FakeServer.plain(m, s, 200, "{}");
                });
                TestNode node = new TestNode(backend);
                Caller caller = node.caller()) {
            caller.get("/registers/1");
            Await.until("the request was written", () -> !backend.received.isEmpty());
            node.node.requestStop(10_000);
            go.countDown();
            node.node.awaitDrained();
            node.node.close();
            assertThat(caller.answer().status()).isEqualTo(200);
        }
    }

    private static void awaitQuietly(java.util.concurrent.CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
