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
import static org.fuchsiadeck.core.request.Harness.dispatch;
import static org.fuchsiadeck.core.request.Harness.engine;
import static org.fuchsiadeck.core.request.Harness.of;
import static org.fuchsiadeck.core.request.Harness.raised;
import static org.fuchsiadeck.core.request.Harness.respond;

class StreamsTest {
    private final Harness node = new Harness();

    @Test
    void relaysThenEndsAStream() {
        node.list(engine("e1", "v1"));
        node.arrive("s", DRAFT);
        node.writing("s", 1);
        assertThat(of(node.started("s", 1), RequestEffect.class))
                .containsExactly(new RequestEffect.Relay(new RequestId("s"), 1));
        assertThat(node.started("s", 1)).isEmpty();
        assertThat(of(node.completed("s", 1), RequestEffect.class))
                .containsExactly(
                        new RequestEffect.EndStream(new RequestId("s")), new RequestEffect.Release(new RequestId("s")));
    }

    @Test
    void resumesACutStreamOnTheSameVersionOnly() {
        node.list(engine("e1", "v1"));
        begin("s");
        node.list(engine("e1", "v1"), engine("e2", "v2"), engine("e3", "v1"));
        Dispatch second = dispatch(node.failed("s", 1, Step.STREAMING, Kind.CLOSED));
        assertThat(second.backend().id().value()).isEqualTo("e3");
        assertThat(second.maxIdleMs()).isEqualTo(node.policy.freshConnectionMs());
        node.writing("s", 2);
        node.started("s", 2);
        node.take(new RequestEvent.AnswerCompleted(new RequestId("s"), 2, 200, 100, 7, Optional.empty()));
        assertThat(node.state
                        .counters()
                        .recomputedTokens()
                        .get(DispatchCause.RESUME)
                        .get())
                .isEqualTo(7);
    }

    @Test
    void endsACutStreamAsUnknownWhenItsVersionIsGone() {
        node.list(engine("e1", "v1"));
        begin("s");
        node.list(engine("e2", "v2"));
        RequestEffect.Respond last = respond(node.failed("s", 1, Step.STREAMING, Kind.CLOSED));
        assertThat(last.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(last.reason()).isEqualTo("no_backend");
    }

    @Test
    void setsNoTimerForProgressAndNoticesSilence() {
        node.list(engine("e1", "v1"), engine("e2", "v1"));
        begin("s");
        int before = of(node.effects, Effect.Schedule.class).size();
        for (int tokens = 20; tokens < 40; tokens++) {
            node.nowMs += 10;
            node.progressed("s", 1, tokens);
        }
        assertThat(of(node.effects, Effect.Schedule.class)).hasSize(before);
        node.advance(node.policy.chunkTimeoutMs() - 1);
        assertThat(of(node.effects, Dispatch.class)).hasSize(1);
        node.advance(1);
        assertThat(of(node.effects, Dispatch.class)).hasSize(2);
    }

    @Test
    void letsAStreamEndThatFitsTheNotice() {
        node.list(engine("e1", "v1"));
        begin("s");
        node.list(engine("e1", "v1"), engine("e2", "v1"));
        assertThat(of(notice("e1", 5_000), Dispatch.class)).isEmpty();
        assertThat(node.state.decisions().last().kind()).isEqualTo(Decision.Kind.STAYS);
    }

    @Test
    void movesAStreamThatDoesNotFitTheNoticeWithItsCache() {
        node.list(engine("e1", "v1"));
        begin("s");
        node.list(engine("e1", "v1"), engine("e2", "v1"));
        List<Effect> moved = notice("e1", 1_000);
        assertThat(dispatch(moved).importFrom().orElseThrow().id().value()).isEqualTo("e1");
        assertThat(of(moved, RequestEffect.Cancel.class)).isEmpty();
        assertThat(raised(moved, AttemptObserved.class).get(0).verdict()).isEqualTo(AttemptObserved.Verdict.NEUTRAL);
        assertThat(node.server("e1").inFlight()).isZero();
    }

    @Test
    void computesAgainWhenTheNoticeIsTooShortForAnImport() {
        node.list(engine("e1", "v1"));
        begin("s");
        node.list(engine("e1", "v1"), engine("e2", "v1"));
        List<Effect> moved = notice("e1", 100);
        assertThat(dispatch(moved).importFrom()).isEmpty();
        assertThat(of(moved, RequestEffect.Cancel.class)).hasSize(1);
    }

    @Test
    void movesAStreamThatBecameSlowerThanPredicted() {
        node.list(engine("e1", "v1"));
        begin("s");
        node.list(engine("e1", "v1"), engine("e2", "v1"));
        notice("e1", 5_000);
        for (int i = 0; i < 4; i++) {
            node.advance(1_000);
            node.progressed("s", 1, 20 + i);
        }
        node.advance(600);
        assertThat(of(node.effects, Dispatch.class)).hasSize(2);
    }

    @Test
    void believesAServerThatSaysItLeavesOverTheList() {
        node.list(engine("e1", "v1"));
        node.arrive("s", DRAFT);
        node.writing("s", 1);
        node.take(new RequestEvent.AnswerCompleted(
                new RequestId("s"), 1, 200, 1, 0, Optional.of(new BackendReport(0, 0, 0, true))));
        node.list(engine("e1", "v1"));
        assertThat(respond(node.arrive("t", DRAFT)).reason()).isEqualTo("no_backend");
    }

    @Test
    void countsAMovedRequestAsPossiblyRunThoughNoWritingWasSeen() {
        node.list(Harness.app("a1"));
        node.arrive("r", STATUS);
        node.list(Harness.app("a1"), Harness.app("a2"));
        assertThat(dispatch(notice("a1", 10)).backend().id().value()).isEqualTo("a2");
        node.list();
        RequestEffect.Respond last = respond(node.failed("r", 2, Step.CONNECTING, Kind.UNREACHABLE));
        assertThat(last.outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    /** Begins a stream at e1 that has passed 11 tokens on, one each 20 ms. */
    private void begin(String id) {
        node.arrive(id, DRAFT);
        node.writing(id, 1);
        node.started(id, 1);
        node.nowMs += 200;
        node.progressed(id, 1, 11);
    }

    private List<Effect> notice(String instance, long noticeMs) {
        return node.take(new PlatformEvent.ReclaimNoticed(instance, noticeMs));
    }
}
