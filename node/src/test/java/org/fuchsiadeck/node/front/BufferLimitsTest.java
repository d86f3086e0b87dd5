package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.node.settings.Limits;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.Caller;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.Sockets;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BufferLimitsTest {
    private static final int MAX_BUFFERED_BYTES = 1 << 20;
    private static final int ANSWER_BYTES = 900_000;
    private static final int CALLERS = 30;
    private static final int ALWAYS_HELD_BYTES = 64 << 10;
    private static final String STREAM = "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}";

    private final List<Caller> callers = new ArrayList<>();
    private long peakBytes;

    @AfterEach
    void stop() throws IOException {
        for (Caller caller : callers) {
            caller.close();
        }
    }

    @Test
    void refusesNewRequestsAndGivesUpAStalledCallerWhenItHoldsTooMuch() throws Exception {
        try (FakeServer large = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "x".repeat(ANSWER_BYTES)));
                TestNode node = new TestNode(limits(CALLERS), large)) {
            caller(node).get("/registers/1");
            Await.until("the answer waits for its caller", () -> held(node) > MAX_BUFFERED_BYTES * 3 / 4);
            Sockets.Message refused = caller(node).get("/registers/1").answer();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("X-Outcome")).isEqualTo("not-run");
            assertThat(refused.header("Retry-After")).isEqualTo("1");
            assertThat(refused.text()).contains("node_full");
            assertThat(large.received).hasSize(1);
            Await.until("the stalled caller is given up", () -> held(node) == 0);
            assertThat(caller(node).get("/registers/1").answer().text()).hasSize(ANSWER_BYTES);
        }
    }

    @Test
    void holdsNoMoreThanItMayThoughManyCallersStall() throws Exception {
        try (FakeServer large = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "x".repeat(ANSWER_BYTES)));
                TestNode node = new TestNode(limits(CALLERS), large)) {
            for (int i = 0; i < CALLERS; i++) {
                caller(node).get("/registers/1");
            }
            awaitNothingHeld(node);
            assertThat(caller(node).get("/registers/1").answer().text()).hasSize(ANSWER_BYTES);
        }
    }

    @Test
    void holdsNoMoreThanItMayThoughManyStreamsStall() throws Exception {
        try (FakeServer endless = new FakeServer(BufferLimitsTest::endless);
                TestNode node = new TestNode(limits(CALLERS), endless)) {
            for (int i = 0; i < CALLERS; i++) {
                caller(node).post("/assistant", STREAM);
            }
            awaitNothingHeld(node);
        }
    }

    @Test
    void refusesStreamsBeyondTheirNumber() throws Exception {
        FakeServer.Script oneToken = (m, s) -> {
            FakeServer.streamHead(m, s);
            FakeServer.token(s, 0, "a");
        };
        try (FakeServer engine = new FakeServer(oneToken);
                TestNode node = new TestNode(limits(1), engine)) {
            Caller first = caller(node).post("/assistant", STREAM);
            Await.until("the first is in progress", () -> !engine.received.isEmpty());
            Sockets.Message refused = caller(node).post("/assistant", STREAM).answer();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("X-Outcome")).isEqualTo("not-run");
            assertThat(refused.header("Retry-After")).isEqualTo("1");
            assertThat(refused.text()).contains("too_many_streams");
            assertThat(engine.received).hasSize(1);
            first.close();
            Await.until("its place is free", () -> node.gauge("requests.streams") == 0);
            caller(node).post("/assistant", STREAM);
            Await.until("the next is in progress", () -> engine.received.size() == 2);
        }
    }

    private void awaitNothingHeld(TestNode node) throws Exception {
        Await.until("bytes are held", () -> held(node) > 0);
        Await.until("all requests have ended", () -> held(node) == 0 && node.gauge("requests.open") == 0);
        assertThat(peakBytes)
                .isBetween(MAX_BUFFERED_BYTES / 2L, MAX_BUFFERED_BYTES + (long) CALLERS * ALWAYS_HELD_BYTES);
    }

    private long held(TestNode node) throws IOException {
        long held = node.gauge("front.buffered_bytes");
        peakBytes = Math.max(peakBytes, held);
        return held;
    }

    private Caller caller(TestNode node) throws IOException {
        Caller caller = node.caller();
        callers.add(caller);
        return caller;
    }

    private static void endless(Sockets.Message request, java.net.Socket socket) throws IOException {
        FakeServer.streamHead(request, socket);
        for (int i = 0; !socket.isClosed(); i++) {
            FakeServer.token(socket, i, "x".repeat(1_000));
        }
    }

    private static Limits limits(int streams) {
        return new Limits(4_096, 8_192, 1 << 20, 400, 50, streams, MAX_BUFFERED_BYTES);
    }
}
