package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.MEAL;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.app;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;
import static org.fuchsiadeck.core.request.Harness.firstResponse;

/**
 * Guards against requests sent to a backend server that reported in a response head that it is leaving or asked for a
 * pause.
 */
class LeavingAndPausedServersTest {
    private static final BackendReport LEAVING = new BackendReport(Optional.empty(), true, 0);
    private static final long PAUSE_MS = 3_000;

    private final Harness node = new Harness();

    @BeforeEach
    void start() {
        node.policy = new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 100, 32, 256, 2_000, 500, 5, 600_000, 100, 0);
        node.listBackends(app("a1"), app("a2"));
    }

    private Backend dispatchedTo(String id) {
        return firstDispatch(node.arrive(id, MEAL)).backend();
    }

    /** Sends requests until one is dispatched to the server; returns its id. */
    private String requestAt(String server) {
        for (int i = 0; i < 100; i++) {
            String id = server + "-r" + i;
            if (dispatchedTo(id).id().value().equals(server)) {
                return id;
            }
            node.completeAnswer(id, 1);
        }
        throw new AssertionError("none of 100 requests was dispatched to " + server);
    }

    private List<Effect> refuseWithPause(String id, long pauseMs) {
        BackendReport report = new BackendReport(Optional.empty(), false, pauseMs);
        Failure failure =
                new Failure(Failure.Step.STREAMING, Failure.Kind.REFUSED_NOT_RUN, "127.0.0.1:2", "status 503, not run");
        node.startWriting(id, 1);
        return node.reduce(new RequestEvent.AttemptFailed(new RequestId(id), 1, failure, Optional.of(report)));
    }

    private void answerAsLeaving(String id) {
        node.reduce(new RequestEvent.AnswerCompleted(new RequestId(id), 1, 200, 0, 0, Optional.of(LEAVING)));
    }

    private void assertReceivesNoRequests(String server) {
        for (int i = 0; i < 20; i++) {
            assertThat(dispatchedTo(server + "-unused" + i + "-" + node.nowMs)
                            .id()
                            .value())
                    .isNotEqualTo(server);
            node.completeAnswer(server + "-unused" + i + "-" + node.nowMs, 1);
        }
    }

    @Test
    void dispatchesNothingToAServerWhoseAnswerReportsThatItLeaves() {
        answerAsLeaving(requestAt("a1"));
        assertReceivesNoRequests("a1");
    }

    @Test
    void acceptsTheLeavingReportOfAFailedAttempt() {
        String id = requestAt("a1");
        node.startWriting(id, 1);
        Failure failure = new Failure(Failure.Step.STREAMING, Failure.Kind.SERVER_ERROR, "127.0.0.1:2", "status 500");
        node.reduce(new RequestEvent.AttemptFailed(new RequestId(id), 1, failure, Optional.of(LEAVING)));
        assertReceivesNoRequests("a1");
    }

    @Test
    void aListingDoesNotRevokeAServersOwnLeavingReport() {
        answerAsLeaving(requestAt("a1"));
        node.nowMs += 400_000;
        node.listBackends(app("a1"), app("a2"), app("a3"));
        assertReceivesNoRequests("a1");
    }

    @Test
    void aListingRevokesADepartureThatOnlyAListingReported() {
        node.listBackends(Harness.backend("a1", "registers", Backend.Kind.APPLICATION, "v1", 4, true), app("a2"));
        assertReceivesNoRequests("a1");
        node.nowMs += 400_000;
        node.listBackends(app("a1"), app("a2"));
        requestAt("a1");
    }

    @Test
    void removesADepartureWhenTheServerIsNoLongerListed() {
        answerAsLeaving(requestAt("a1"));
        node.nowMs += 400_000;
        node.listBackends(app("a2"));
        assertThat(node.state.fleet().departures()).isEmpty();
    }

    @Test
    void aRestartedServerReceivesRequests() {
        answerAsLeaving(requestAt("a1"));
        node.listBackends(app("a1@2"), app("a2"));
        requestAt("a1@2");
    }

    @Test
    void dispatchesNothingToAServerDuringThePauseItAskedFor() {
        String id = requestAt("a1");
        assertThat(firstDispatch(refuseWithPause(id, PAUSE_MS)).backend().id().value())
                .isEqualTo("a2");
        assertThat(node.backendStatus("a1").health().isClean()).isTrue();
        assertReceivesNoRequests("a1");
        node.advance(PAUSE_MS);
        assertReceivesNoRequests("a1");
        node.advance(200);
        requestAt("a1");
    }

    @Test
    void limitsAServerAfterItsPauseToHalfOfItsEarlierConcurrency() {
        node.listBackends(app("a1"));
        for (int i = 0; i < 4; i++) {
            node.arrive("r" + i, MEAL);
        }
        refuseWithPause("r0", PAUSE_MS);
        node.completeAnswer("r1", 1);
        node.completeAnswer("r2", 1);
        node.completeAnswer("r3", 1);
        node.arrive("w1", MEAL);
        node.arrive("w2", MEAL);
        node.arrive("w3", MEAL);
        List<RequestEffect.Dispatch> sent = effectsOfType(node.advance(PAUSE_MS + 200), RequestEffect.Dispatch.class);
        assertThat(sent).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void keepsAPauseWhileTheServerIsNotListed() {
        refuseWithPause(requestAt("a1"), PAUSE_MS);
        node.listBackends(app("a2"));
        node.listBackends(app("a1"), app("a2"));
        assertReceivesNoRequests("a1");
    }

    @Test
    void refusesARequestWhoseDeadlineIsBeforeTheEndOfAllPauses() {
        node.listBackends(app("a1"));
        node.arrive("r", MEAL);
        refuseWithPause("r", 30_000);
        RequestEffect.Respond response = firstResponse(node.arrive("s", MEAL));
        assertThat(response.reason()).isEqualTo("backends_paused");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.retryAfterMs()).isBetween(30_000L, 61_000L);
    }

    @Test
    void queuesRequestsInOrderWhenTheirDeadlinesAreAfterThePause() {
        node.listBackends(app("a1"));
        node.arrive("r", MEAL);
        refuseWithPause("r", PAUSE_MS);
        assertThat(effectsOfType(node.arrive("w1", MEAL), RequestEffect.Dispatch.class))
                .isEmpty();
        List<RequestEffect.Dispatch> sent = effectsOfType(node.advance(PAUSE_MS + 200), RequestEffect.Dispatch.class);
        assertThat(sent).extracting(d -> d.id().value()).startsWith("r");
        assertThat(effectsOfType(node.completeAnswer("r", 2), RequestEffect.Dispatch.class))
                .extracting(d -> d.id().value())
                .contains("w1");
    }

    @Test
    void aRetryIsNotDispatchedToAPausedServer() {
        node.listBackends(app("a1"), app("a2"), app("a3"));
        refuseWithPause(requestAt("a1"), PAUSE_MS);
        RequestEffect.Dispatch first = firstDispatch(node.arrive("t", STATUS));
        node.startWriting("t", 1);
        RequestEffect.Dispatch second =
                firstDispatch(node.failAttempt("t", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED));
        assertThat(List.of(first.backend().id().value(), second.backend().id().value()))
                .containsExactlyInAnyOrder("a2", "a3");
    }

    @Test
    void logsAndCountsAPause() {
        refuseWithPause(requestAt("a1"), PAUSE_MS);
        assertThat(effectsOfType(node.effects, Effect.Log.class))
                .anyMatch(l -> l.code() == EventCode.BACKEND_PAUSED
                        && l.fields().get("pause_ms").equals(PAUSE_MS));
        assertThat(node.state.counters().pauses()).isEqualTo(1);
    }
}
