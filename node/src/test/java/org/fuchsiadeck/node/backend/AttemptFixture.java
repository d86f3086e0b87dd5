package org.fuchsiadeck.node.backend;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.RequestEffect.Dispatch;
import org.fuchsiadeck.core.request.RequestEvent.AnswerCompleted;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.exchange.CallerBody;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.Room;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.RecordingChannel;
import org.fuchsiadeck.node.testing.Sockets;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs attempts at fake servers, whose answers a test scripts byte by byte, and records the reported events. */
abstract class AttemptFixture {
    static final long MAX_IDLE_MS = 60_000;
    static final int MAX_ANSWER_BYTES = 1_000;

    final List<Event> events = new CopyOnWriteArrayList<>();
    final MetricRegistry metrics = new MetricRegistry();
    final RecordingChannel caller = new RecordingChannel();
    ByteBudget budget = new ByteBudget(1 << 20);
    int maxTokens = Integer.MAX_VALUE;
    int maxJournalBytes = 1 << 20;
    HttpClient client;
    BackendClient backendClient;

    @BeforeEach
    void start() throws IOException {
        client = HttpClient.start();
        backendClient = new BackendClient(
                client, events::add, () -> TestNode.CONFIGURATION, log -> {}, metrics, MAX_ANSWER_BYTES);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
    }

    void complete(FakeServer server, String id, long maxIdleMs) throws Exception {
        events.clear();
        Exchange exchange = exchange(id, false);
        dispatch(exchange, 1, server, maxIdleMs);
        await(AnswerCompleted.class);
    }

    Exchange exchange(String id, boolean stream) {
        CallerRequest call =
                new CallerRequest("POST", "/assistant", new TeamId("t"), Optional.empty(), 2, stream, Optional.empty());
        CallerBody body = new CallerBody("/assistant", Optional.of("application/json"), "{}".getBytes());
        Room room = new Room(budget, maxJournalBytes, maxTokens);
        return new Exchange(new RequestId(id), call, body, caller, events::add, room);
    }

    void dispatch(Exchange exchange, int attempt, FakeServer server, long maxIdleMs) {
        Backend backend = server.as(Backend.Kind.ENGINE);
        backendClient.dispatch(exchange, new Dispatch(exchange.id(), attempt, backend, maxIdleMs, 1_000));
    }

    <E extends Event> E await(Class<E> type) throws Exception {
        Await.until(type.getSimpleName(), () -> !eventsOfType(type).isEmpty());
        return eventsOfType(type).get(0);
    }

    <E extends Event> List<E> eventsOfType(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static String event(int index) {
        return "data: {\"i\":" + index + ",\"t\":\"t" + index + "é \"}\n\n";
    }

    static TokenScript tokens(int... indexes) {
        return new TokenScript(indexes);
    }

    record TokenScript(int... indexes) implements FakeServer.Script {
        @Override
        public void serve(Sockets.Message request, Socket socket) throws IOException {
            FakeServer.streamHead(request, socket);
            for (int index : indexes) {
                FakeServer.chunk(socket, event(index));
            }
        }

        FakeServer.Script then(FakeServer.Script next) {
            return (m, s) -> {
                serve(m, s);
                next.serve(m, s);
            };
        }
    }
}
