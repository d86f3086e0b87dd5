package org.fuchsiadeck.node.backend;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.FakeServer;
import org.fuchsiadeck.node.testing.TestNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that are sent after their caller has left, and against checks that delay other requests. */
class CallerCheckTest extends AttemptFixture {
    private static final RequestEvent GONE = new RequestEvent.CallerGone(new RequestId("r"), true);

    private volatile boolean behind;

    @Test
    void sendsAtOnceIfTheNodeIsNotBehind() throws Exception {
        try (FakeServer server = server()) {
            dispatch(server);
            await(RequestEvent.AnswerCompleted.class);
            assertThat(caller.polls).isEmpty();
            assertThat(metrics.counter("backend.caller_checks").getCount()).isZero();
        }
    }

    @Test
    void sendsAfterAPollIfTheNodeIsBehind() throws Exception {
        behind = true;
        try (FakeServer server = server()) {
            dispatch(server);
            assertThat(caller.polls).hasSize(1);
            assertThat(server.connections()).isZero();
            caller.polls.remove().run();
            await(RequestEvent.AnswerCompleted.class);
            assertThat(caller.polls).isEmpty();
        }
    }

    @Test
    void sendsNothingIfTheCallerIsKnownToHaveLeft() throws Exception {
        caller.gone = true;
        try (FakeServer server = server()) {
            Exchange exchange = dispatch(server);
            assertThat(events).containsExactly(GONE);
            assertCancelledUnsent(exchange, server);
        }
    }

    @Test
    void sendsNothingIfThePollShowsThatTheCallerHasLeft() throws Exception {
        behind = true;
        try (FakeServer server = server()) {
            Exchange exchange = dispatch(server);
            caller.gone = true;
            caller.polls.remove().run();
            assertThat(events).containsExactly(GONE);
            assertCancelledUnsent(exchange, server);
        }
    }

    @Test
    void sendsNothingIfTheAttemptIsCancelledBeforeThePoll() throws Exception {
        behind = true;
        try (FakeServer server = server()) {
            Exchange exchange = dispatch(server);
            backendClient.cancel(exchange, 1);
            caller.polls.remove().run();
            assertThat(eventsOfType(RequestEvent.CallerGone.class)).isEmpty();
            Failure failure =
                    eventsOfType(RequestEvent.AttemptFailed.class).get(0).failure();
            assertThat(failure.kind()).isEqualTo(Failure.Kind.NODE_BEHIND);
            assertThat(failure.step()).isEqualTo(Failure.Step.CONNECTING);
            assertThat(server.connections()).isZero();
        }
    }

    /** The caller leaves while the connection to the server is opened. */
    @Test
    void writesNothingOnAConnectionThatOpensAfterTheCallerHasLeft() throws Exception {
        try (FakeServer server = server()) {
            behind = true;
            Exchange exchange = dispatch(server);
            Runnable start = caller.polls.remove();
            caller.goneAfterChecks(1);
            start.run();
            Await.until("the connection is open", () -> server.connections() == 1);
            await(RequestEvent.CallerGone.class);
            assertThat(server.received).isEmpty();
            backendClient.cancel(exchange, 1);
            assertThat(eventsOfType(RequestEvent.Writing.class)).isEmpty();
        }
    }

    private void assertCancelledUnsent(Exchange exchange, FakeServer server) {
        backendClient.cancel(exchange, 1);
        Failure failure = eventsOfType(RequestEvent.AttemptFailed.class).get(0).failure();
        assertThat(failure.step()).isEqualTo(Failure.Step.CONNECTING);
        assertThat(eventsOfType(RequestEvent.Writing.class)).isEmpty();
        assertThat(server.connections()).isZero();
        assertThat(metrics.counter("backend.not_sent").getCount()).isEqualTo(1);
    }

    private Exchange dispatch(FakeServer server) {
        backendClient = new BackendClient(
                client,
                new StandardBackendProtocol(),
                events::add,
                new BackendClient.CurrentState(() -> TestNode.CONFIGURATION, id -> false, () -> behind),
                log -> {},
                metrics,
                MAX_ANSWER_BYTES);
        Exchange exchange = exchange("r", false);
        dispatch(exchange, 1, server, MAX_IDLE_MS);
        return exchange;
    }

    private static FakeServer server() throws Exception {
        return new FakeServer((m, s) -> FakeServer.plain(m, s, 200, "{}"));
    }
}
