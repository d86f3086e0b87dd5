package org.fuchsiadeck.node.backend;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect.Dispatch;
import org.fuchsiadeck.core.request.RequestEvent.AnswerCompleted;
import org.fuchsiadeck.core.request.RequestEvent.AttemptFailed;
import org.fuchsiadeck.core.request.RequestEvent.Writing;
import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.Sockets;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reporting a wrong outcome of an attempt, against writing after its cancellation, and against reusing a
 * connection that is stale, too old or has received bytes after its answer.
 */
class AttemptTest extends AttemptFixture {
    @Test
    void reportsThatNothingWasWrittenWhenNoConnectionIsMade() throws Exception {
        Backend unreachable = FakeServer.at(Sockets.freeAddress(), Backend.Kind.ENGINE);
        Exchange exchange = exchange("r1", false);
        backendClient.dispatch(exchange, new Dispatch(exchange.id(), 1, unreachable, 0, 1_000));
        AttemptFailed failed = await(AttemptFailed.class);
        assertThat(failed.failure().step()).isEqualTo(Step.CONNECTING);
        assertThat(failed.failure().kind()).isEqualTo(Kind.UNREACHABLE);
        assertThat(eventsOfType(Writing.class)).isEmpty();
    }

    @Test
    void writesNothingOnceCancelledWhileConnecting() throws Exception {
        try (FakeServer server = new FakeServer((m, s) -> {})) {
            Exchange exchange = exchange("r1", false);
            Dispatch dispatch = new Dispatch(exchange.id(), 1, server.as(Backend.Kind.APPLICATION), 0, 1_000);
            AttemptResources resources = new AttemptResources(
                    new StandardBackendProtocol(), events::add, log -> {}, metrics, MAX_ANSWER_BYTES, id -> false);
            Attempt attempt = new Attempt(
                    exchange,
                    dispatch,
                    () -> {
                        throw new AssertionError("a cancelled attempt has nothing to write");
                    },
                    resources);
            exchange.open(1, attempt);
            backendClient.cancel(exchange, 1);
            client.connect(server.address(), attempt);
            Await.until(
                    "the connection is pooled", () -> !resources.pool().counts().isEmpty());
            assertThat(eventsOfType(AttemptFailed.class)).hasSize(1);
            assertThat(eventsOfType(AttemptFailed.class).get(0).failure().step())
                    .isEqualTo(Step.CONNECTING);
            assertThat(eventsOfType(Writing.class)).isEmpty();
            assertThat(server.received).isEmpty();
        }
    }

    /** A node sent requests to a server of which it had learned, while it connected, that it had left. */
    @Test
    void writesNothingToAServerThatLeftWhileTheNodeConnected() throws Exception {
        backendClient = new BackendClient(
                client,
                new StandardBackendProtocol(),
                events::add,
                new BackendClient.CurrentState(() -> TestNode.CONFIGURATION, id -> true, () -> false),
                log -> {},
                metrics,
                MAX_ANSWER_BYTES);
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"))) {
            dispatch(exchange("r1", false), 1, server, 0);
            AttemptFailed failed = await(AttemptFailed.class);
            assertThat(failed.failure().step()).isEqualTo(Step.CONNECTING);
            assertThat(failed.failure().kind()).isEqualTo(Kind.UNREACHABLE);
            Await.until("the connection is closed", server::allClosed);
            assertThat(server.received).isEmpty();
        }
    }

    @Test
    void closesTheConnectionOfACancelledAttemptAndReportsItOnce() throws Exception {
        try (FakeServer server = new FakeServer((m, s) -> s.getInputStream().read())) {
            Exchange exchange = exchange("r1", false);
            dispatch(exchange, 1, server, 0);
            Await.until("the request is written", () -> !server.received.isEmpty());
            backendClient.cancel(exchange, 1);
            backendClient.cancel(exchange, 1);
            Await.until("the connection is closed", server::allClosed);
            exchange.release();
            assertThat(eventsOfType(AttemptFailed.class)).hasSize(1);
            assertThat(eventsOfType(AttemptFailed.class).get(0).failure().step())
                    .isEqualTo(Step.AWAITING);
        }
    }

    @Test
    void relaysAClientErrorAsACompleteAnswerWithTheReportedLoad() throws Exception {
        FakeServer.Script script = (m, s) -> FakeServer.write(
                s,
                FakeServer.head(m, 404, "X-Load: running=3;queued=1;age_ms=20;leaving=1", "Content-Length: 2") + "{}");
        try (FakeServer server = new FakeServer(script)) {
            Exchange exchange = exchange("r1", false);
            dispatch(exchange, 1, server, 0);
            AnswerCompleted completed = await(AnswerCompleted.class);
            assertThat(completed.status()).isEqualTo(404);
            assertThat(completed.report()).contains(new BackendReport(3, 1, 20, true));
            exchange.relay(1);
            assertThat(caller.answer.status()).isEqualTo(404);
        }
    }

    @Test
    void reusesAConnectionOnlyIfItAnsweredRecently() throws Exception {
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"))) {
            complete(server, "r1", 0);
            Await.until(
                    "the connection is pooled",
                    () -> !backendClient.idleConnections().isEmpty());
            complete(server, "r2", MAX_IDLE_MS);
            assertThat(server.connections()).isEqualTo(1);
            Await.until(
                    "the connection is pooled",
                    () -> !backendClient.idleConnections().isEmpty());
            complete(server, "r3", 0);
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    @Test
    void closesAConnectionOnWhichBytesFollowTheAnswer() throws Exception {
        FakeServer.Script script = (m, s) -> FakeServer.write(
                s, FakeServer.head(m, 200, "Content-Length: 2") + "{}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        try (FakeServer server = new FakeServer(script)) {
            complete(server, "r1", 0);
            Await.until("the connection is closed", server::allClosed);
            assertThat(backendClient.idleConnections()).isEmpty();
            assertThat(metrics.counter("backend.stale_answers").getCount()).isEqualTo(1);
        }
    }

    @Test
    void failsALargeAnswerOnlyWhenTheByteBudgetIsExhausted() throws Exception {
        String large = "x".repeat(ByteBudget.SMALL_BYTES + 1);
        backendClient = new BackendClient(
                client, events::add, () -> TestNode.CONFIGURATION, log -> {}, metrics, large.length());
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, large))) {
            complete(server, "r1", 0);
            budget = new ByteBudget(1);
            events.clear();
            Exchange exchange = exchange("r2", false);
            dispatch(exchange, 1, server, 0);
            assertThat(await(AttemptFailed.class).failure().kind()).isEqualTo(Kind.NO_ROOM);
            exchange.release();
            assertThat(budget.held()).isZero();
        }
    }

    @Test
    void acceptsASmallAnswerWhenTheByteBudgetIsExhausted() throws Exception {
        budget = new ByteBudget(1);
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "x".repeat(MAX_ANSWER_BYTES)))) {
            complete(server, "r1", 0);
        }
    }

    @Test
    void limitsConnectionAgeByThePolicyOfTheZone() throws Exception {
        ExceptionRule rule = new ExceptionRule(
                "connections are lost",
                Map.of("zone", "dumdum"),
                Map.of("connection_max_age_ms", 1L),
                OptionalLong.empty());
        Configuration config = new Configuration(2, Policy.DEFAULT, List.of(rule), List.of(), List.of());
        backendClient = new BackendClient(client, events::add, () -> config, log -> {}, metrics, MAX_ANSWER_BYTES);
        try (FakeServer server = new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"))) {
            complete(server, "r1", MAX_IDLE_MS);
            Await.until(
                    "the connection is pooled",
                    () -> !backendClient.idleConnections().isEmpty());
            Await.until("the connection is closed", () -> {
                backendClient.closeExpiredConnections();
                return backendClient.idleConnections().isEmpty();
            });
        }
    }
}
