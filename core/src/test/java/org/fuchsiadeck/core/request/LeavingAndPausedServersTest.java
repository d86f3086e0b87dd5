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
import static org.fuchsiadeck.core.request.Harness.dispatch;
import static org.fuchsiadeck.core.request.Harness.of;
import static org.fuchsiadeck.core.request.Harness.respond;

/** What backend servers say of themselves in the heads of their answers: that they leave, or ask for a pause. */
class LeavingAndPausedServersTest {
    private static final BackendReport LEAVING = new BackendReport(Optional.empty(), true, 0);
    private static final long PAUSE_MS = 3_000;

    private final Harness node = new Harness();

    @BeforeEach
    void start() {
        node.policy = new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 100, 32, 256, 2_000, 500, 5, 600_000, 100);
        node.list(app("a1"), app("a2"));
    }

    private Backend placed(String id) {
        return dispatch(node.arrive(id, MEAL)).backend();
    }

    /** Places requests until one is at the server. */
    private String requestAt(String server) {
        for (int i = 0; i < 100; i++) {
            String id = server + "-r" + i;
            if (placed(id).id().value().equals(server)) {
                return id;
            }
            node.completed(id, 1);
        }
        throw new AssertionError("no request was placed at " + server);
    }

    private List<Effect> refused(String id, long pauseMs) {
        BackendReport report = new BackendReport(Optional.empty(), false, pauseMs);
        Failure failure =
                new Failure(Failure.Step.STREAMING, Failure.Kind.REFUSED_NOT_RUN, "127.0.0.1:2", "status 503, not run");
        node.writing(id, 1);
        return node.take(new RequestEvent.AttemptFailed(new RequestId(id), 1, failure, Optional.of(report)));
    }

    private void answeredLeaving(String id) {
        node.take(new RequestEvent.AnswerCompleted(new RequestId(id), 1, 200, 0, 0, Optional.of(LEAVING)));
    }

    private void assertUnused(String server) {
        for (int i = 0; i < 20; i++) {
            assertThat(placed(server + "-unused" + i + "-" + node.nowMs).id().value())
                    .isNotEqualTo(server);
            node.completed(server + "-unused" + i + "-" + node.nowMs, 1);
        }
    }

    @Test
    void sendsNothingMoreToAServerWhoseAnswerSaysThatItLeaves() {
        answeredLeaving(requestAt("a1"));
        assertUnused("a1");
    }

    @Test
    void learnsOfTheDepartureFromAFailedAttemptToo() {
        String id = requestAt("a1");
        node.writing(id, 1);
        Failure failure = new Failure(Failure.Step.STREAMING, Failure.Kind.SERVER_ERROR, "127.0.0.1:2", "status 500");
        node.take(new RequestEvent.AttemptFailed(new RequestId(id), 1, failure, Optional.of(LEAVING)));
        assertUnused("a1");
    }

    @Test
    void noListTakesBackWhatAServerSaidOfItself() {
        answeredLeaving(requestAt("a1"));
        node.nowMs += 400_000;
        node.list(app("a1"), app("a2"), app("a3"));
        assertUnused("a1");
    }

    @Test
    void aListTakesBackADepartureThatTheServerItselfNeverSpokeOf() {
        node.list(Harness.backend("a1", "registers", Backend.Kind.APPLICATION, "v1", 4, true), app("a2"));
        assertUnused("a1");
        node.nowMs += 400_000;
        node.list(app("a1"), app("a2"));
        requestAt("a1");
    }

    @Test
    void forgetsADepartureOnceTheServerIsGone() {
        answeredLeaving(requestAt("a1"));
        node.nowMs += 400_000;
        node.list(app("a2"));
        assertThat(node.state.fleet().departures()).isEmpty();
    }

    @Test
    void aNewStartOfTheServerTakesRequests() {
        answeredLeaving(requestAt("a1"));
        node.list(app("a1@2"), app("a2"));
        requestAt("a1@2");
    }

    @Test
    void sendsNothingToAServerThatAskedForAPauseUntilItIsOver() {
        String id = requestAt("a1");
        assertThat(dispatch(refused(id, PAUSE_MS)).backend().id().value()).isEqualTo("a2");
        assertThat(node.server("a1").health().isClean()).isTrue();
        assertUnused("a1");
        node.advance(PAUSE_MS);
        assertUnused("a1");
        node.advance(200);
        requestAt("a1");
    }

    @Test
    void letsAServerBackWithHalfOfWhatItHadInProgress() {
        node.list(app("a1"));
        for (int i = 0; i < 4; i++) {
            node.arrive("r" + i, MEAL);
        }
        refused("r0", PAUSE_MS);
        node.completed("r1", 1);
        node.completed("r2", 1);
        node.completed("r3", 1);
        node.arrive("w1", MEAL);
        node.arrive("w2", MEAL);
        node.arrive("w3", MEAL);
        List<RequestEffect.Dispatch> sent = of(node.advance(PAUSE_MS + 200), RequestEffect.Dispatch.class);
        assertThat(sent).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void keepsAPauseWhileTheServersEntryIsMissing() {
        refused(requestAt("a1"), PAUSE_MS);
        node.list(app("a2"));
        node.list(app("a1"), app("a2"));
        assertUnused("a1");
    }

    @Test
    void refusesAtOnceWhatCannotWaitForTheEndOfAllPauses() {
        node.list(app("a1"));
        node.arrive("r", MEAL);
        refused("r", 30_000);
        RequestEffect.Respond refusal = respond(node.arrive("s", MEAL));
        assertThat(refusal.reason()).isEqualTo("backends_paused");
        assertThat(refusal.status()).isEqualTo(503);
        assertThat(refusal.retryAfterMs()).isBetween(30_000L, 61_000L);
    }

    @Test
    void letsRequestsWaitInOrderForTheEndOfAPauseThatTheyOutlast() {
        node.list(app("a1"));
        node.arrive("r", MEAL);
        refused("r", PAUSE_MS);
        assertThat(of(node.arrive("w1", MEAL), RequestEffect.Dispatch.class)).isEmpty();
        List<RequestEffect.Dispatch> sent = of(node.advance(PAUSE_MS + 200), RequestEffect.Dispatch.class);
        assertThat(sent).extracting(d -> d.id().value()).startsWith("r");
        assertThat(of(node.completed("r", 2), RequestEffect.Dispatch.class))
                .extracting(d -> d.id().value())
                .contains("w1");
    }

    @Test
    void aSecondTryLeavesAPausedServerAloneToo() {
        node.list(app("a1"), app("a2"), app("a3"));
        refused(requestAt("a1"), PAUSE_MS);
        RequestEffect.Dispatch first = dispatch(node.arrive("t", STATUS));
        node.writing("t", 1);
        RequestEffect.Dispatch second = dispatch(node.failed("t", 1, Failure.Step.AWAITING, Failure.Kind.CLOSED));
        assertThat(List.of(first.backend().id().value(), second.backend().id().value()))
                .containsExactlyInAnyOrder("a2", "a3");
    }

    @Test
    void logsAndCountsAPause() {
        refused(requestAt("a1"), PAUSE_MS);
        assertThat(of(node.effects, Effect.Log.class))
                .anyMatch(l -> l.code() == EventCode.BACKEND_PAUSED
                        && l.fields().get("pause_ms").equals(PAUSE_MS));
        assertThat(node.state.counters().pauses()).isEqualTo(1);
    }
}
