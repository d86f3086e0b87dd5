package org.fuchsiadeck.node.backend;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.RequestEffect.Dispatch;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.core.request.RequestEvent.AnswerCompleted;
import org.fuchsiadeck.core.request.RequestEvent.AnswerStarted;
import org.fuchsiadeck.core.request.RequestEvent.AttemptFailed;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.testing.Await;
import org.fuchsiadeck.node.testing.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost, repeated or premature tokens of a streamed answer, also when a second attempt resumes the stream,
 * and against unlimited reading while the caller does not accept data.
 */
class AttemptStreamTest extends AttemptFixture {
    @Test
    void resumesAStreamAfterTheDeliveredTokens() throws Exception {
        try (FakeServer first = new FakeServer(tokens(0, 1));
                FakeServer second = new FakeServer(tokens(1, 2).then((m, s) -> FakeServer.done(s, 3)))) {
            Exchange exchange = exchange("r1", true);
            dispatch(exchange, 1, first, 0);
            await(AnswerStarted.class);
            exchange.relay(1);
            Await.until("two tokens are relayed", () -> exchange.journal().tokens() == 2);
            backendClient.cancel(exchange, 1);
            events.clear();
            dispatch(exchange, 2, second, 0);
            AnswerCompleted completed = await(AnswerCompleted.class);
            assertThat(completed.deliveredTokens()).isEqualTo(3);
            exchange.relay(2);
            exchange.endStream();
            assertThat(second.received.get(0).text())
                    .contains("\"resume\":{\"text\":\"t0\\u00E9 t1\\u00E9 \",\"tokens\":2}");
            assertThat(caller.text())
                    .isEqualTo(event(0) + event(1) + event(2)
                            + "data: {\"done\":true,\"tokens\":3,\"recomputed_tokens\":0}\n\n");
        }
    }

    @ParameterizedTest
    @CsvSource({"200, true", "404, false"})
    void importsTheCacheOfThePreviousEngine(int status, boolean exported) throws Exception {
        FakeServer.Script generate = tokens(0, 1);
        FakeServer.Script leaving = (m, s) -> {
            if (m.start().startsWith("POST /v1/kv/export/r1 ")) {
                FakeServer.plain(m, s, status, "{\"handle\":\"h7\",\"tokens\":2}");
            } else {
                generate.serve(m, s);
            }
        };
        try (FakeServer first = new FakeServer(leaving);
                FakeServer second = new FakeServer(tokens(2).then((m, s) -> FakeServer.done(s, 3)))) {
            Exchange exchange = exchange("r1", true);
            dispatch(exchange, 1, first, 0);
            await(AnswerStarted.class);
            exchange.relay(1);
            Await.until("two tokens are relayed", () -> exchange.journal().tokens() == 2);
            events.clear();
            Backend from = first.as(Backend.Kind.ENGINE);
            Backend to = second.as(Backend.Kind.ENGINE);
            backendClient.dispatch(exchange, new Dispatch(exchange.id(), 2, to, 0, 1_000, Optional.of(from)));
            await(AnswerCompleted.class);
            assertThat(eventsOfType(AttemptFailed.class)).singleElement().matches(f -> f.attempt() == 1);
            String sent = second.received.get(0).text();
            assertThat(sent).contains("\"resume\":{\"text\":\"t0\\u00E9 t1\\u00E9 \",\"tokens\":2}");
            assertThat(sent.contains("\"import\":{\"from\":\"" + first.address() + "\",\"handle\":\"h7\"}"))
                    .isEqualTo(exported);
            exchange.relay(2);
            exchange.endStream();
            assertThat(caller.text()).startsWith(event(0) + event(1) + event(2));
        }
    }

    @Test
    void relaysNothingBeforeTheAttemptIsChosenOrAfterItIsCancelled() throws Exception {
        try (FakeServer server = new FakeServer(tokens(0, 1))) {
            Exchange exchange = exchange("r1", true);
            dispatch(exchange, 1, server, 0);
            await(AnswerStarted.class);
            assertThat(caller.text()).isEmpty();
            backendClient.cancel(exchange, 1);
            exchange.relay(1);
            assertThat(caller.text()).isEmpty();
        }
    }

    @Test
    void reportsAllRelayedTokensBeforeTheAttemptEnds() throws Exception {
        CountDownLatch relayed = new CountDownLatch(1);
        FakeServer.Script cut = (m, s) -> {
            await(relayed);
            s.close();
        };
        try (FakeServer server = new FakeServer(tokens(0, 1, 2).then(cut))) {
            Exchange exchange = exchange("r1", true);
            dispatch(exchange, 1, server, 0);
            await(AnswerStarted.class);
            exchange.relay(1);
            Await.until("three tokens are relayed", () -> exchange.journal().tokens() == 3);
            relayed.countDown();
            await(AttemptFailed.class);
            List<Event> ends = events.stream()
                    .filter(e -> e instanceof RequestEvent.Progressed || e instanceof AttemptFailed)
                    .toList();
            assertThat(ends).hasSizeGreaterThan(1);
            assertThat(ends.get(ends.size() - 2)).isEqualTo(new RequestEvent.Progressed(exchange.id(), 1, 3));
        }
    }

    @Test
    void stopsReadingWhileTheCallerConnectionIsFull() throws Exception {
        int[] many = java.util.stream.IntStream.range(0, 20_000).toArray();
        try (FakeServer server = new FakeServer(tokens(many).then((m, s) -> FakeServer.done(s, many.length)))) {
            Exchange exchange = exchange("r1", true);
            caller.full = true;
            dispatch(exchange, 1, server, 0);
            await(AnswerStarted.class);
            exchange.relay(1);
            Await.until("reading has stopped", () -> {
                exchange.reportWaiting();
                return !eventsOfType(RequestEvent.Progressed.class).isEmpty();
            });
            int stopped = exchange.journal().tokens();
            assertThat(stopped).isLessThan(many.length);
            assertThat(eventsOfType(AnswerCompleted.class)).isEmpty();
            caller.drain();
            await(AnswerCompleted.class);
            assertThat(exchange.journal().tokens()).isEqualTo(many.length);
        }
    }

    @Test
    void failsAStreamWithMoreTokensThanRequested() throws Exception {
        maxTokens = 2;
        assertThat(failureOfStream(tokens(0, 1, 2)).detail()).contains("more than the 2 tokens");
        assertThat(failureOfStream(tokens(0, 1, 2)).kind()).isEqualTo(Kind.BAD_ANSWER);
    }

    @Test
    void failsAStreamWhoseTextIsTooLong() throws Exception {
        maxJournalBytes = 15;
        assertThat(failureOfStream(tokens(0, 1)).detail()).contains("longer than 15 bytes");
    }

    private Failure failureOfStream(FakeServer.Script script) throws Exception {
        events.clear();
        try (FakeServer server = new FakeServer(script)) {
            Exchange exchange = exchange("r1", true);
            dispatch(exchange, 1, server, 0);
            await(AnswerStarted.class);
            exchange.relay(1);
            return await(AttemptFailed.class).failure();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
