package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect.Dispatch;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.DRAFT;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.engine;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;
import static org.fuchsiadeck.core.request.Harness.firstResponse;
import static org.fuchsiadeck.core.request.Harness.raisedEvents;

/**
 * Guards against streams that are cut off, recomputed needlessly or resumed on another version when their server fails
 * or is reclaimed.
 */
class StreamsTest {
    private final Harness node = new Harness();

    @Test
    void relaysThenEndsAStream() {
        node.listBackends(engine("e1", "v1"));
        node.arrive("s", DRAFT);
        node.startWriting("s", 1);
        assertThat(effectsOfType(node.startAnswer("s", 1), RequestEffect.class))
                .containsExactly(new RequestEffect.Relay(new RequestId("s"), 1));
        assertThat(node.startAnswer("s", 1)).isEmpty();
        assertThat(effectsOfType(node.completeAnswer("s", 1), RequestEffect.class))
                .containsExactly(
                        new RequestEffect.EndStream(new RequestId("s")), new RequestEffect.Release(new RequestId("s")));
    }

    @Test
    void resumesACutStreamOnTheSameVersionOnly() {
        node.listBackends(engine("e1", "v1"));
        startStream("s");
        node.listBackends(engine("e1", "v1"), engine("e2", "v2"), engine("e3", "v1"));
        Dispatch second = firstDispatch(node.failAttempt("s", 1, Step.STREAMING, Kind.CLOSED));
        assertThat(second.backend().id().value()).isEqualTo("e3");
        assertThat(second.maxIdleMs()).isEqualTo(node.policy.freshConnectionMs());
        node.startWriting("s", 2);
        node.startAnswer("s", 2);
        node.reduce(new RequestEvent.AnswerCompleted(new RequestId("s"), 2, 200, 100, 7, Optional.empty()));
        assertThat(node.state
                        .counters()
                        .recomputedTokens()
                        .get(DispatchCause.RESUME)
                        .get())
                .isEqualTo(7);
    }

    @Test
    void endsACutStreamAsUnknownWhenItsVersionIsNoLongerListed() {
        node.listBackends(engine("e1", "v1"));
        startStream("s");
        node.listBackends(engine("e2", "v2"));
        RequestEffect.Respond response = firstResponse(node.failAttempt("s", 1, Step.STREAMING, Kind.CLOSED));
        assertThat(response.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(response.reason()).isEqualTo("no_backend");
    }

    @Test
    void detectsASilentStreamWithoutATimerForEachProgressEvent() {
        node.listBackends(engine("e1", "v1"), engine("e2", "v1"));
        startStream("s");
        int before = effectsOfType(node.effects, Effect.Schedule.class).size();
        for (int tokens = 20; tokens < 40; tokens++) {
            node.nowMs += 10;
            node.reportProgress("s", 1, tokens);
        }
        assertThat(effectsOfType(node.effects, Effect.Schedule.class)).hasSize(before);
        node.advance(node.policy.chunkTimeoutMs() - 1);
        assertThat(effectsOfType(node.effects, Dispatch.class)).hasSize(1);
        node.advance(1);
        assertThat(effectsOfType(node.effects, Dispatch.class)).hasSize(2);
    }

    @Test
    void leavesAStreamThatEndsWithinTheNoticePeriod() {
        node.listBackends(engine("e1", "v1"));
        startStream("s");
        node.listBackends(engine("e1", "v1"), engine("e2", "v1"));
        assertThat(effectsOfType(reclaim("e1", 5_000), Dispatch.class)).isEmpty();
        assertThat(node.state.decisions().last().kind()).isEqualTo(Decision.Kind.STAYS);
    }

    @Test
    void movesALongerStreamWithItsCache() {
        node.listBackends(engine("e1", "v1"));
        startStream("s");
        node.listBackends(engine("e1", "v1"), engine("e2", "v1"));
        List<Effect> moved = reclaim("e1", 1_000);
        assertThat(firstDispatch(moved).importFrom().orElseThrow().id().value()).isEqualTo("e1");
        assertThat(effectsOfType(moved, RequestEffect.Cancel.class)).isEmpty();
        assertThat(raisedEvents(moved, AttemptObserved.class).get(0).verdict())
                .isEqualTo(AttemptObserved.Verdict.NEUTRAL);
        assertThat(node.backendStatus("e1").inFlight()).isZero();
    }

    @Test
    void recomputesWhenTheNoticeIsTooShortForACacheImport() {
        node.listBackends(engine("e1", "v1"));
        startStream("s");
        node.listBackends(engine("e1", "v1"), engine("e2", "v1"));
        List<Effect> moved = reclaim("e1", 100);
        assertThat(firstDispatch(moved).importFrom()).isEmpty();
        assertThat(effectsOfType(moved, RequestEffect.Cancel.class)).hasSize(1);
    }

    @Test
    void movesAStreamThatIsSlowerThanPredicted() {
        node.listBackends(engine("e1", "v1"));
        startStream("s");
        node.listBackends(engine("e1", "v1"), engine("e2", "v1"));
        reclaim("e1", 5_000);
        for (int i = 0; i < 4; i++) {
            node.advance(1_000);
            node.reportProgress("s", 1, 20 + i);
        }
        node.advance(600);
        assertThat(effectsOfType(node.effects, Dispatch.class)).hasSize(2);
    }

    @Test
    void aServersLeavingReportOverridesTheListing() {
        node.listBackends(engine("e1", "v1"));
        node.arrive("s", DRAFT);
        node.startWriting("s", 1);
        node.reduce(new RequestEvent.AnswerCompleted(
                new RequestId("s"), 1, 200, 1, 0, Optional.of(new BackendReport(0, 0, 0, true))));
        node.listBackends(engine("e1", "v1"));
        assertThat(firstResponse(node.arrive("t", DRAFT)).reason()).isEqualTo("no_backend");
    }

    @Test
    void treatsAMovedRequestAsPossiblyRunWithoutAWritingEvent() {
        node.listBackends(Harness.app("a1"));
        node.arrive("r", STATUS);
        node.listBackends(Harness.app("a1"), Harness.app("a2"));
        assertThat(firstDispatch(reclaim("a1", 10)).backend().id().value()).isEqualTo("a2");
        node.listBackends();
        RequestEffect.Respond response = firstResponse(node.failAttempt("r", 2, Step.CONNECTING, Kind.UNREACHABLE));
        assertThat(response.outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    /** Starts a stream that has relayed 11 tokens, one every 20 ms. */
    private void startStream(String id) {
        node.arrive(id, DRAFT);
        node.startWriting(id, 1);
        node.startAnswer(id, 1);
        node.nowMs += 200;
        node.reportProgress(id, 1, 11);
    }

    private List<Effect> reclaim(String instance, long noticeMs) {
        return node.reduce(new PlatformEvent.ReclaimNoticed(instance, noticeMs));
    }
}
