package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.net.Socket;
import java.util.stream.Stream;

import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.Caller;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.Sockets;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class CallerServerTest {
    private static final String ENGINE = "POST /assistant HTTP/1.1\r\nHost: n\r\n";
    private static final String ENTRY = "POST /registers/1/entries HTTP/1.1\r\nHost: n\r\n";
    private static final int STREAM_TOKENS = 60_000;
    private static final String LONG = "x".repeat(150);

    private FakeServer backend;
    private TestNode node;

    @BeforeEach
    void start() throws Exception {
        backend = new FakeServer(CallerServerTest::serve);
        node = new TestNode(backend);
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
        backend.close();
    }

    private static void serve(Sockets.Message request, Socket socket) throws IOException {
        if (!request.start().contains("/v1/completions")) {
            FakeServer.plain(request, socket, 200, "{}");
            return;
        }
        FakeServer.streamHead(request, socket);
        for (int i = 0; i < STREAM_TOKENS; i++) {
            FakeServer.token(socket, i, LONG);
        }
        FakeServer.done(socket, STREAM_TOKENS);
    }

    static Stream<Arguments> refused() {
        return Stream.of(
                arguments("no HTTP", 400, "bad_request", "GET / HTTP/9.9\r\nHost: n\r\n\r\n"),
                arguments("a head too large", 431, "headers_too_large", ENTRY + "X: " + "y".repeat(9_000) + "\r\n\r\n"),
                arguments("an unknown path", 404, "unknown_route", "GET /no HTTP/1.1\r\nHost: n\r\n\r\n"),
                arguments("a dot segment", 400, "bad_path", "GET /registers/%2E. HTTP/1.1\r\nHost: n\r\n\r\n"),
                arguments("a hidden slash", 400, "bad_path", "GET /registers/1%2f2 HTTP/1.1\r\nHost: n\r\n\r\n"),
                arguments(
                        "a stream by HTTP/1.0",
                        400,
                        "bad_request",
                        body("{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}")
                                .replace("HTTP/1.1", "HTTP/1.0")),
                arguments("a wrong method", 405, "method_not_allowed", "GET /assistant HTTP/1.1\r\nHost: n\r\n\r\n"),
                arguments("a long body", 413, "body_too_large", ENTRY + "Content-Length: 5000\r\n\r\n"),
                arguments(
                        "a long chunked body",
                        413,
                        "body_too_large",
                        ENTRY + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + "x".repeat(5_000) + "\r\n0\r\n\r\n"),
                arguments("a bad chunk", 400, "bad_request", ENTRY + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
                arguments("a slow body", 408, "slow_sender", ENTRY + "Content-Length: 10\r\n\r\n123"),
                arguments(
                        "a bad request id",
                        400,
                        "bad_header",
                        ENTRY + "X-Request-Id: a b\r\nContent-Length: 0\r\n\r\n"),
                arguments(
                        "a long key",
                        400,
                        "bad_header",
                        ENTRY + "Idempotency-Key: " + "k".repeat(129) + "\r\nContent-Length: 0\r\n\r\n"),
                arguments(
                        "two keys",
                        400,
                        "bad_header",
                        ENTRY + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n"),
                arguments(
                        "another media type",
                        415,
                        "unsupported_media_type",
                        ENGINE + "Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n"),
                arguments("no JSON", 400, "bad_body", body("{")),
                arguments("an array", 400, "bad_body", body("[]")),
                arguments("text after the JSON", 400, "bad_body", body("{\"model\":\"m\",\"prompt\":\"p\"} x")),
                arguments("no prompt", 400, "bad_body", body("{\"model\":\"m\"}")),
                arguments(
                        "a caller's resume", 400, "bad_body", body("{\"model\":\"m\",\"prompt\":\"p\",\"resume\":{}}")),
                arguments("no tokens", 400, "bad_body", body("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}")));
    }

    private static String body(String json) {
        return ENGINE + "Content-Type: application/json\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refused")
    void refusesWhatItCanNotTakeAndRunsNothing(String what, int status, String reason, String sent) throws Exception {
        try (Caller caller = node.caller()) {
            Sockets.Message answer = caller.send(sent).answer();
            assertThat(answer.status()).isEqualTo(status);
            assertThat(answer.header("X-Outcome")).isEqualTo("not-run");
            assertThat(answer.header("Content-Type")).isEqualTo("application/json");
            assertThat(answer.header("X-Request-Id")).isNotBlank();
            assertThat(answer.text())
                    .contains("\"error\":\"" + reason + "\"", "\"outcome\":\"not-run\"", "\"request\":\"");
            assertThat(backend.received).isEmpty();
        }
    }

    @Test
    void closesAConnectionWhoseHeadDoesNotCome() throws Exception {
        try (Caller caller = node.caller()) {
            assertThat(caller.send("GET /regis").answer()).isNull();
        }
    }

    @Test
    void refusesASecondRequestWithAnIdInProgress() throws Exception {
        try (FakeServer silent = new FakeServer((m, s) -> {});
                TestNode other = new TestNode(silent);
                Caller first = other.caller();
                Caller second = other.caller()) {
            first.get("/registers/1", "X-Request-Id: same");
            Await.until("the first is sent", () -> !silent.received.isEmpty());
            Sockets.Message answer =
                    second.get("/registers/1", "X-Request-Id: same").answer();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).isEqualTo("1");
        }
    }

    @Test
    void closesConnectionsOverTheLimit() throws Exception {
        java.util.List<Caller> callers = new java.util.ArrayList<>();
        for (int i = 0; i < TestNode.LIMITS.maxConnections(); i++) {
            callers.add(node.caller());
            callers.get(i).get("/registers/1").answer();
        }
        try (Caller extra = node.caller()) {
            assertThat(extra.socket.getInputStream().read()).isEqualTo(-1);
        }
        callers.remove(0).close();
        Await.until("a new connection is served", this::isServed);
        for (Caller caller : callers) {
            caller.close();
        }
    }

    private boolean isServed() throws IOException {
        try (Caller caller = node.caller()) {
            return caller.get("/registers/1").answer() != null;
        } catch (java.net.SocketException e) {
            return false;
        }
    }

    @Test
    void keepsASlowCallersStreamWholeWithoutReadingAhead() throws Exception {
        try (Caller slow = node.caller();
                Caller quick = node.caller()) {
            slow.post("/assistant", "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
            Await.until(
                    "the stream has begun",
                    () -> !node.events(RequestEvent.Progressed.class).isEmpty());
            assertThat(quick.get("/registers/1").answer().status()).isEqualTo(200);
            String text = slow.answer().text();
            assertThat(text).contains("{\"i\":" + (STREAM_TOKENS - 1) + ",").endsWith("\"recomputed_tokens\":0}\n\n");
            assertThat(text.split("\n\n")).hasSize(STREAM_TOKENS + 1);
        }
    }

    @Test
    void givesUpACallerWhoTakesNothing() throws Exception {
        try (Caller caller = node.caller()) {
            caller.post("/assistant", "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
            Await.until(
                    "the caller is given up",
                    () -> !node.events(RequestEvent.CallerGone.class).isEmpty());
            Await.until("the attempt is closed", backend::allClosed);
        }
    }

    @Test
    void tellsTheCallerWhenABackendServerIsLost() throws Exception {
        FakeServer.Script oneToken = (m, s) -> {
            FakeServer.streamHead(m, s);
            FakeServer.token(s, 0, "a");
        };
        try (FakeServer cutting = new FakeServer(oneToken);
                TestNode other = new TestNode(cutting);
                Caller caller = other.caller()) {
            caller.post("/assistant", "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}", "X-Request-Id: r1");
            Await.until(
                    "the token is passed on",
                    () -> !other.events(RequestEvent.Progressed.class).isEmpty());
            cutting.close();
            String[] events = caller.answer().text().split("\n\n");
            assertThat(events).hasSize(2);
            assertThat(events[1]).startsWith("data: {").contains("\"outcome\":\"unknown\"", "\"request\":\"r1\"");
        }
    }
}
