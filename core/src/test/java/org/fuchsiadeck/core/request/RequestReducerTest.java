package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.claim.ClaimEvent;
import org.fuchsiadeck.core.claim.ClaimEvent.Settlement;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.MEAL;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.app;
import static org.fuchsiadeck.core.request.Harness.apps;
import static org.fuchsiadeck.core.request.Harness.dispatch;
import static org.fuchsiadeck.core.request.Harness.of;
import static org.fuchsiadeck.core.request.Harness.raised;
import static org.fuchsiadeck.core.request.Harness.respond;

class RequestReducerTest {
    private final Harness node = new Harness();

    @Test
    void passesAWholeAnswerOn() {
        node.list(apps(2));
        RequestEffect.Dispatch dispatch = dispatch(node.arrive("r", MEAL));
        assertThat(dispatch.maxIdleMs()).isEqualTo(node.policy.freshConnectionMs());
        node.writing("r", 1);
        List<Effect> last = node.completed("r", 1);
        assertThat(of(last, RequestEffect.class))
                .containsExactly(
                        new RequestEffect.Relay(new RequestId("r"), 1), new RequestEffect.Release(new RequestId("r")));
        assertThat(raised(last, AttemptObserved.class))
                .singleElement()
                .satisfies(o -> assertThat(o.verdict()).isEqualTo(AttemptObserved.Verdict.GOOD));
        assertThat(node.server(dispatch.backend().id().value()).inFlight()).isZero();
    }

    @Test
    void refusesAtOnceWhatCannotBeServed() {
        assertThat(respond(node.arrive("a", MEAL)).reason()).isEqualTo("no_backend");
        node.list(apps(1));
        assertThat(respond(node.take(new RequestEvent.Arrived(
                                new RequestId("b"),
                                new CallerRequest(
                                        "POST",
                                        "/meals",
                                        new TeamId("t"),
                                        Optional.empty(),
                                        1_001,
                                        false,
                                        Optional.empty()))))
                        .status())
                .isEqualTo(413);
        node.take(new LifecycleEvent.StopRequested(10_000));
        RequestEffect.Respond draining = respond(node.arrive("c", MEAL));
        assertThat(draining.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(draining.retryAfterMs()).isPositive();
    }

    @Test
    void retriesAnUnrepeatableRequestOfWhichNoByteWasWritten() {
        node.list(apps(2));
        RequestEffect.Dispatch first = dispatch(node.arrive("r", MEAL));
        RequestEffect.Dispatch second = dispatch(node.failed("r", 1, Step.CONNECTING, Kind.UNREACHABLE));
        assertThat(second.attempt()).isEqualTo(2);
        assertThat(second.backend()).isNotEqualTo(first.backend());
    }

    @Test
    void retriesAnUnrepeatableRequestRefusedAsNotRun() {
        node.list(apps(2));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        assertThat(dispatch(node.failed("r", 1, Step.AWAITING, Kind.REFUSED_NOT_RUN))
                        .attempt())
                .isEqualTo(2);
        node.writing("r", 2);
        node.failed("r", 2, Step.AWAITING, Kind.REFUSED_NOT_RUN);
        node.writing("r", 3);
        RequestEffect.Respond last = respond(node.failed("r", 3, Step.AWAITING, Kind.REFUSED_NOT_RUN));
        assertThat(last.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void retriesAnUnrepeatableRequestWhoseRefusalWasReadFromTheHeadOfTheAnswer() {
        node.list(apps(2));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        assertThat(dispatch(node.failed("r", 1, Step.STREAMING, Kind.REFUSED_NOT_RUN))
                        .attempt())
                .isEqualTo(2);
        node.writing("r", 2);
        node.failed("r", 2, Step.STREAMING, Kind.REFUSED_NOT_RUN);
        node.writing("r", 3);
        RequestEffect.Respond last = respond(node.failed("r", 3, Step.STREAMING, Kind.REFUSED_NOT_RUN));
        assertThat(last.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void neverRepeatsNorRefusesAnUnrepeatableRequestThatWasWritten() {
        node.list(apps(3));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        List<Effect> last = node.failed("r", 1, Step.AWAITING, Kind.CLOSED);
        assertThat(of(last, RequestEffect.Dispatch.class)).isEmpty();
        assertThat(respond(last).outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void believesTheWritingEventOverAFailureThatDeniesIt() {
        node.list(apps(2));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        assertThat(respond(node.failed("r", 1, Step.CONNECTING, Kind.CLOSED)).outcome())
                .isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void waitsForTheDataPathAfterAConnectTimeout() {
        node.list(apps(2));
        node.arrive("r", MEAL);
        node.advance(node.policy.connectTimeoutMs());
        assertThat(of(node.effects, RequestEffect.Cancel.class)).hasSize(1);
        assertThat(of(node.effects, RequestEffect.Dispatch.class)).hasSize(1);
        assertThat(dispatch(node.failed("r", 1, Step.CONNECTING, Kind.CLOSED)).attempt())
                .isEqualTo(2);
    }

    @Test
    void takesACancelledAttemptAsWrittenIfTheDataPathWasWriting() {
        node.list(apps(2));
        node.arrive("r", MEAL);
        node.advance(node.policy.connectTimeoutMs());
        node.writing("r", 1);
        assertThat(respond(node.failed("r", 1, Step.AWAITING, Kind.CLOSED)).outcome())
                .isEqualTo(Outcome.UNKNOWN);
    }

    /** The connection was made just before the time limit, and the cancelled answer was under way. */
    @Test
    void anAttemptThatThisNodeCancelledOnceItWasWrittenSaysNothingOfTheServer() {
        node.list(apps(2));
        node.arrive("r", STATUS);
        BackendId server = dispatch(node.effects).backend().id();
        node.advance(node.policy.connectTimeoutMs());
        node.writing("r", 1);
        List<Effect> ended = node.failed("r", 1, Step.STREAMING, Kind.CLOSED);
        assertThat(raised(ended, AttemptObserved.class).get(0).verdict()).isEqualTo(AttemptObserved.Verdict.NEUTRAL);
        assertThat(node.state.fleet().servers().get(server).get().health().isClean())
                .isTrue();
    }

    @Test
    void answersAsUnknownWhenTheDeadlineComesBeforeTheDataPathTold() {
        node.policy = new Policy(60_000, 5_000, 2_000, 60_000, 1_000, 3, 10, 32, 256, 2_000, 500, 5, 600_000, 100);
        node.list(apps(2));
        node.arrive("r", MEAL);
        node.advance(MEAL.deadlineMs());
        RequestEffect.Respond last = respond(node.effects);
        assertThat(last.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(last.status()).isEqualTo(504);
        assertThat(node.state.open().isEmpty()).isTrue();
    }

    @Test
    void retriesAnIdempotentRequestAfterASilentServer() {
        node.list(apps(2));
        node.arrive("r", STATUS);
        node.writing("r", 1);
        node.advance(node.policy.firstByteTimeoutMs());
        assertThat(of(node.effects, RequestEffect.Cancel.class)).hasSize(1);
        assertThat(of(node.effects, RequestEffect.Dispatch.class)).hasSize(2);
    }

    @Test
    void givesWaitingAnswersAMomentAfterAPause() {
        node.list(apps(1));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        node.nowMs += 8_000;
        node.advance(100);
        assertThat(of(node.completed("r", 1), RequestEffect.Relay.class)).hasSize(1);
    }

    @Test
    void dropsAndCountsAnAnswerOfAnotherAttempt() {
        node.list(apps(2));
        node.arrive("r", STATUS);
        node.writing("r", 1);
        node.failed("r", 1, Step.AWAITING, Kind.CLOSED);
        assertThat(of(node.completed("r", 1), RequestEffect.class)).isEmpty();
        assertThat(node.state.counters().stale()).isEqualTo(1);
        assertThat(of(node.completed("r", 2), RequestEffect.Relay.class)).hasSize(1);
    }

    @Test
    void waitsForTheClaimAndSettlesItOnce() {
        node.list(apps(1));
        List<Effect> first = node.arrive("r", MEAL, "t/x", Optional.of("k"));
        assertThat(raised(first, ClaimEvent.Wanted.class).get(0).key()).isEqualTo("t%2Fx/meals/k");
        assertThat(of(first, RequestEffect.Dispatch.class)).isEmpty();
        assertThat(dispatch(node.take(new RequestEvent.ClaimGranted(new RequestId("r"))))
                        .attempt())
                .isEqualTo(1);
        node.writing("r", 1);
        node.completed("r", 1);
        assertThat(raised(node.effects, ClaimEvent.Settled.class))
                .singleElement()
                .satisfies(s -> assertThat(s.settlement()).isEqualTo(Settlement.ANSWERED));
    }

    @Test
    void settlesAPendingClaimAsNotRunAtTheDeadline() {
        node.list(apps(1));
        node.arrive("r", MEAL, "t", Optional.of("k"));
        node.advance(MEAL.deadlineMs());
        assertThat(respond(node.effects).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(raised(node.effects, ClaimEvent.Settled.class))
                .singleElement()
                .satisfies(s -> assertThat(s.settlement()).isEqualTo(Settlement.NOT_RUN));
        assertThat(node.take(new RequestEvent.ClaimGranted(new RequestId("r")))).isEmpty();
    }

    @Test
    void answersADeniedClaimByItsReason() {
        node.list(apps(1));
        assertThat(denied("a", RequestEvent.Denial.IN_PROGRESS)).isEqualTo(Outcome.DUPLICATE);
        assertThat(denied("b", RequestEvent.Denial.ALREADY_ANSWERED)).isEqualTo(Outcome.DUPLICATE);
        assertThat(denied("c", RequestEvent.Denial.OUTCOME_UNKNOWN)).isEqualTo(Outcome.UNKNOWN);
        assertThat(denied("d", RequestEvent.Denial.UNDECIDED)).isEqualTo(Outcome.NOT_RUN);
        assertThat(raised(node.effects, ClaimEvent.Settled.class)).isEmpty();
    }

    @Test
    void letsAWrittenUnrepeatableRequestEndAfterItsCallerLeft() {
        node.list(apps(1));
        node.arrive("r", MEAL, "t", Optional.of("k"));
        node.take(new RequestEvent.ClaimGranted(new RequestId("r")));
        node.writing("r", 1);
        assertThat(of(node.take(new RequestEvent.CallerGone(new RequestId("r"))), RequestEffect.class))
                .isEmpty();
        List<Effect> last = node.completed("r", 1);
        assertThat(of(last, RequestEffect.class)).containsExactly(new RequestEffect.Release(new RequestId("r")));
        assertThat(raised(last, ClaimEvent.Settled.class).get(0).settlement()).isEqualTo(Settlement.ANSWERED);
    }

    @Test
    void ignoresTheDeadlineOfAnEarlierRequestWithTheSameId() {
        node.list(apps(1));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        node.completed("r", 1);
        node.advance(9_000);
        node.arrive("r", MEAL);
        node.writing("r", 1);
        node.advance(2_000);
        assertThat(of(node.effects, RequestEffect.Respond.class)).isEmpty();
    }

    @Test
    void stopsOnceWhenTheLastRequestHasEnded() {
        node.list(apps(1));
        node.arrive("r", MEAL);
        node.take(new LifecycleEvent.StopRequested(10_000));
        assertThat(of(node.effects, Effect.Stop.class)).isEmpty();
        node.writing("r", 1);
        node.completed("r", 1);
        node.take(new LifecycleEvent.StopRequested(5_000));
        node.advance(20_000);
        assertThat(of(node.effects, Effect.Stop.class)).hasSize(1);
    }

    @Test
    void answersTruthfullyWhatCannotEndBeforeTheNodeIsGone() {
        node.policy = new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 10, 1, 256, 2_000, 500, 5, 600_000, 100);
        node.list(apps(1));
        node.arrive("r", MEAL);
        node.writing("r", 1);
        node.arrive("q", MEAL);
        node.take(new LifecycleEvent.StopRequested(2_000));
        node.advance(1_999);
        assertThat(of(node.effects, RequestEffect.Respond.class))
                .extracting(r -> r.id().value() + " " + r.outcome())
                .containsExactlyInAnyOrder("r UNKNOWN", "q NOT_RUN");
        assertThat(of(node.effects, Effect.Stop.class)).hasSize(1);
    }

    private Outcome denied(String id, RequestEvent.Denial denial) {
        node.arrive(id, MEAL, "t", Optional.of("k" + id));
        return respond(node.take(new RequestEvent.ClaimDenied(new RequestId(id), denial)))
                .outcome();
    }

    @Test
    void blamesNoServerForAnAnswerTheNodeHasNoRoomFor() {
        node.list(app("a1"));
        node.arrive("r1", MEAL);
        node.writing("r1", 1);
        List<Effect> ended = node.failed("r1", 1, Step.STREAMING, Kind.NO_ROOM);
        assertThat(respond(ended).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(respond(ended).reason()).isEqualTo("node_full");
        assertThat(node.server("a1").health().isClean()).isTrue();
        assertThat(Harness.raised(ended, AttemptObserved.class).get(0).verdict())
                .isEqualTo(AttemptObserved.Verdict.NEUTRAL);
    }
}
