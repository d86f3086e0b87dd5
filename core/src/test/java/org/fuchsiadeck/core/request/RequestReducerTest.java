package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

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
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;
import static org.fuchsiadeck.core.request.Harness.firstResponse;
import static org.fuchsiadeck.core.request.Harness.raisedEvents;

/**
 * Guards against wrong answers to callers: a non-idempotent request run twice, a request reported as not run although
 * it may have run, and claims that are not settled exactly once.
 */
class RequestReducerTest {
    private final Harness node = new Harness();

    @Test
    void relaysACompleteAnswer() {
        node.listBackends(apps(2));
        RequestEffect.Dispatch dispatch = firstDispatch(node.arrive("r", MEAL));
        assertThat(dispatch.maxIdleMs()).isEqualTo(node.policy.freshConnectionMs());
        node.startWriting("r", 1);
        List<Effect> last = node.completeAnswer("r", 1);
        assertThat(effectsOfType(last, RequestEffect.class))
                .containsExactly(
                        new RequestEffect.Relay(new RequestId("r"), 1), new RequestEffect.Release(new RequestId("r")));
        assertThat(raisedEvents(last, AttemptObserved.class))
                .singleElement()
                .satisfies(o -> assertThat(o.verdict()).isEqualTo(AttemptObserved.Verdict.GOOD));
        assertThat(node.backendStatus(dispatch.backend().id().value()).inFlight())
                .isZero();
    }

    /** A server that repeats its refusal on another connection would answer for an attempt that it runs. */
    @Test
    void dispatchesASecondAttemptAtTheSameServerOnANewConnection() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        List<Effect> retried = node.failAttempt("r", 1, Failure.Step.STREAMING, Failure.Kind.REFUSED_NOT_RUN);
        RequestEffect.Dispatch second = firstDispatch(retried);
        assertThat(second.attempt()).isEqualTo(2);
        assertThat(second.maxIdleMs()).isZero();
    }

    @Test
    void refusesRequestsThatCannotBeServed() {
        assertThat(firstResponse(node.arrive("a", MEAL)).reason()).isEqualTo("no_backend");
        node.listBackends(apps(1));
        assertThat(firstResponse(node.reduce(new RequestEvent.Arrived(
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
        node.reduce(new LifecycleEvent.StopRequested(10_000));
        RequestEffect.Respond draining = firstResponse(node.arrive("c", MEAL));
        assertThat(draining.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(draining.retryAfterMs()).isPositive();
    }

    @Test
    void retriesANonIdempotentRequestThatWasNotWritten() {
        node.listBackends(apps(2));
        RequestEffect.Dispatch first = firstDispatch(node.arrive("r", MEAL));
        RequestEffect.Dispatch second = firstDispatch(node.failAttempt("r", 1, Step.CONNECTING, Kind.UNREACHABLE));
        assertThat(second.attempt()).isEqualTo(2);
        assertThat(second.backend()).isNotEqualTo(first.backend());
    }

    @Test
    void retriesANonIdempotentRequestRefusedAsNotRun() {
        node.listBackends(apps(2));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        assertThat(firstDispatch(node.failAttempt("r", 1, Step.AWAITING, Kind.REFUSED_NOT_RUN))
                        .attempt())
                .isEqualTo(2);
        node.startWriting("r", 2);
        node.failAttempt("r", 2, Step.AWAITING, Kind.REFUSED_NOT_RUN);
        node.startWriting("r", 3);
        RequestEffect.Respond last = firstResponse(node.failAttempt("r", 3, Step.AWAITING, Kind.REFUSED_NOT_RUN));
        assertThat(last.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void retriesANonIdempotentRequestRefusedInTheResponseHead() {
        node.listBackends(apps(2));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        assertThat(firstDispatch(node.failAttempt("r", 1, Step.STREAMING, Kind.REFUSED_NOT_RUN))
                        .attempt())
                .isEqualTo(2);
        node.startWriting("r", 2);
        node.failAttempt("r", 2, Step.STREAMING, Kind.REFUSED_NOT_RUN);
        node.startWriting("r", 3);
        RequestEffect.Respond last = firstResponse(node.failAttempt("r", 3, Step.STREAMING, Kind.REFUSED_NOT_RUN));
        assertThat(last.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void endsAWrittenNonIdempotentRequestAsUnknownAfterAFailure() {
        node.listBackends(apps(3));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        List<Effect> last = node.failAttempt("r", 1, Step.AWAITING, Kind.CLOSED);
        assertThat(effectsOfType(last, RequestEffect.Dispatch.class)).isEmpty();
        assertThat(firstResponse(last).outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void treatsARequestAsWrittenAfterAWritingEventDespiteAConnectFailure() {
        node.listBackends(apps(2));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        assertThat(firstResponse(node.failAttempt("r", 1, Step.CONNECTING, Kind.CLOSED))
                        .outcome())
                .isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void retriesAfterAConnectTimeoutOnlyOnceTheCancelledAttemptEnded() {
        node.listBackends(apps(2));
        node.arrive("r", MEAL);
        node.advance(node.policy.connectTimeoutMs());
        assertThat(effectsOfType(node.effects, RequestEffect.Cancel.class)).hasSize(1);
        assertThat(effectsOfType(node.effects, RequestEffect.Dispatch.class)).hasSize(1);
        assertThat(firstDispatch(node.failAttempt("r", 1, Step.CONNECTING, Kind.CLOSED))
                        .attempt())
                .isEqualTo(2);
    }

    @Test
    void treatsACancelledAttemptAsWrittenAfterAWritingEvent() {
        node.listBackends(apps(2));
        node.arrive("r", MEAL);
        node.advance(node.policy.connectTimeoutMs());
        node.startWriting("r", 1);
        assertThat(firstResponse(node.failAttempt("r", 1, Step.AWAITING, Kind.CLOSED))
                        .outcome())
                .isEqualTo(Outcome.UNKNOWN);
    }

    /** The connection is made just before the connect timeout, and the answer has started when it is cancelled. */
    @Test
    void anAttemptCancelledByTheNodeDoesNotAffectTheServersHealth() {
        node.listBackends(apps(2));
        node.arrive("r", STATUS);
        BackendId server = firstDispatch(node.effects).backend().id();
        node.advance(node.policy.connectTimeoutMs());
        node.startWriting("r", 1);
        List<Effect> ended = node.failAttempt("r", 1, Step.STREAMING, Kind.CLOSED);
        assertThat(raisedEvents(ended, AttemptObserved.class).get(0).verdict())
                .isEqualTo(AttemptObserved.Verdict.NEUTRAL);
        assertThat(node.state.fleet().servers().get(server).get().health().isClean())
                .isTrue();
    }

    @Test
    void answersUnknownWhenTheDeadlinePassesWithoutAnAttemptResult() {
        node.policy = new Policy(60_000, 5_000, 2_000, 60_000, 1_000, 3, 10, 32, 256, 2_000, 500, 5, 600_000, 100, 0);
        node.listBackends(apps(2));
        node.arrive("r", MEAL);
        node.advance(MEAL.deadlineMs());
        RequestEffect.Respond last = firstResponse(node.effects);
        assertThat(last.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(last.status()).isEqualTo(504);
        assertThat(node.state.open().isEmpty()).isTrue();
    }

    @Test
    void retriesAnIdempotentRequestAfterASilentServer() {
        node.listBackends(apps(2));
        node.arrive("r", STATUS);
        node.startWriting("r", 1);
        node.advance(node.policy.firstByteTimeoutMs());
        assertThat(effectsOfType(node.effects, RequestEffect.Cancel.class)).hasSize(1);
        assertThat(effectsOfType(node.effects, RequestEffect.Dispatch.class)).hasSize(2);
    }

    @Test
    void acceptsAnAnswerShortlyAfterAPauseOfTheNode() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        node.nowMs += 8_000;
        node.advance(100);
        assertThat(effectsOfType(node.completeAnswer("r", 1), RequestEffect.Relay.class))
                .hasSize(1);
    }

    @Test
    void dropsAndCountsAnAnswerOfAnEarlierAttempt() {
        node.listBackends(apps(2));
        node.arrive("r", STATUS);
        node.startWriting("r", 1);
        node.failAttempt("r", 1, Step.AWAITING, Kind.CLOSED);
        assertThat(effectsOfType(node.completeAnswer("r", 1), RequestEffect.class))
                .isEmpty();
        assertThat(node.state.counters().stale()).isEqualTo(1);
        assertThat(effectsOfType(node.completeAnswer("r", 2), RequestEffect.Relay.class))
                .hasSize(1);
    }

    @Test
    void waitsForTheClaimAndSettlesItOnce() {
        node.listBackends(apps(1));
        List<Effect> first = node.arrive("r", MEAL, "t/x", Optional.of("k"));
        assertThat(raisedEvents(first, ClaimEvent.Wanted.class).get(0).key()).isEqualTo("t%2Fx/meals/k");
        assertThat(effectsOfType(first, RequestEffect.Dispatch.class)).isEmpty();
        assertThat(firstDispatch(node.reduce(new RequestEvent.ClaimGranted(new RequestId("r"))))
                        .attempt())
                .isEqualTo(1);
        node.startWriting("r", 1);
        node.completeAnswer("r", 1);
        assertThat(raisedEvents(node.effects, ClaimEvent.Settled.class))
                .singleElement()
                .satisfies(s -> assertThat(s.settlement()).isEqualTo(Settlement.ANSWERED));
    }

    @Test
    void settlesAPendingClaimAsNotRunAtTheDeadline() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL, "t", Optional.of("k"));
        node.advance(MEAL.deadlineMs());
        assertThat(firstResponse(node.effects).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(raisedEvents(node.effects, ClaimEvent.Settled.class))
                .singleElement()
                .satisfies(s -> assertThat(s.settlement()).isEqualTo(Settlement.NOT_RUN));
        assertThat(node.reduce(new RequestEvent.ClaimGranted(new RequestId("r"))))
                .isEmpty();
    }

    @Test
    void answersADeniedClaimAccordingToItsReason() {
        node.listBackends(apps(1));
        assertThat(denyClaim("a", RequestEvent.Denial.IN_PROGRESS)).isEqualTo(Outcome.DUPLICATE);
        assertThat(denyClaim("b", RequestEvent.Denial.ALREADY_ANSWERED)).isEqualTo(Outcome.DUPLICATE);
        assertThat(denyClaim("c", RequestEvent.Denial.OUTCOME_UNKNOWN)).isEqualTo(Outcome.UNKNOWN);
        assertThat(denyClaim("d", RequestEvent.Denial.UNDECIDED)).isEqualTo(Outcome.NOT_RUN);
        assertThat(raisedEvents(node.effects, ClaimEvent.Settled.class)).isEmpty();
    }

    @Test
    void completesAWrittenNonIdempotentRequestAfterItsCallerDisconnected() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL, "t", Optional.of("k"));
        node.reduce(new RequestEvent.ClaimGranted(new RequestId("r")));
        node.startWriting("r", 1);
        assertThat(effectsOfType(node.reduce(new RequestEvent.CallerGone(new RequestId("r"))), RequestEffect.class))
                .isEmpty();
        List<Effect> last = node.completeAnswer("r", 1);
        assertThat(effectsOfType(last, RequestEffect.class))
                .containsExactly(new RequestEffect.Release(new RequestId("r")));
        assertThat(raisedEvents(last, ClaimEvent.Settled.class).get(0).settlement())
                .isEqualTo(Settlement.ANSWERED);
    }

    /** The urgent event precedes queued ones: a request that was written must not be cut off or settled as not run. */
    @Test
    void keepsAWrittenNonIdempotentRequestWhoseWritingIsQueuedBehindTheCallersClose() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL, "t", Optional.of("k"));
        node.reduce(new RequestEvent.ClaimGranted(new RequestId("r")));
        assertThat(node.reduce(new RequestEvent.CallerGone(new RequestId("r"), true)))
                .isEmpty();
        node.startWriting("r", 1);
        assertThat(effectsOfType(node.reduce(new RequestEvent.CallerGone(new RequestId("r"))), RequestEffect.class))
                .isEmpty();
        assertThat(raisedEvents(node.completeAnswer("r", 1), ClaimEvent.Settled.class)
                        .get(0)
                        .settlement())
                .isEqualTo(Settlement.ANSWERED);
    }

    @Test
    void endsAnIdempotentRequestByTheUrgentEventAndIgnoresTheSecondOne() {
        node.listBackends(apps(1));
        node.arrive("r", Harness.STATUS);
        RequestId id = new RequestId("r");
        assertThat(effectsOfType(node.reduce(new RequestEvent.CallerGone(id, true)), RequestEffect.class))
                .containsExactly(new RequestEffect.Cancel(id, 1), new RequestEffect.Release(id));
        assertThat(node.reduce(new RequestEvent.CallerGone(id))).isEmpty();
        assertThat(node.state.counters().callersGone()).isEqualTo(1);
    }

    /** A node that read a request late gave its caller's time to servers although the caller had used it up. */
    @Test
    void countsTheDeadlineFromTheTimeAtWhichARequestCouldHaveBeenRead() {
        node.listBackends(apps(1));
        CallerRequest call =
                new CallerRequest("GET", "/status", new TeamId("t"), Optional.empty(), 0, false, Optional.empty());
        node.nowMs = 50_000;
        long lateMs = Harness.STATUS.deadlineMs() / 2;
        assertThat(remainingMs(call, "late", node.nowMs - lateMs)).isEqualTo(Harness.STATUS.deadlineMs() - lateMs);
        assertThat(remainingMs(call, "usual", node.nowMs - 100)).isEqualTo(Harness.STATUS.deadlineMs());
        RequestId expired = new RequestId("expired");
        List<Effect> effects = node.reduce(
                new RequestEvent.Arrived(expired, call, OptionalLong.of(node.nowMs - Harness.STATUS.deadlineMs())));
        assertThat(effectsOfType(effects, RequestEffect.Dispatch.class)).isEmpty();
        assertThat(effectsOfType(effects, RequestEffect.Respond.class))
                .hasSize(1)
                .allMatch(r -> r.outcome() == Outcome.NOT_RUN && r.reason().equals("deadline"));
    }

    private long remainingMs(CallerRequest call, String id, long receivedMs) {
        List<Effect> effects =
                node.reduce(new RequestEvent.Arrived(new RequestId(id), call, OptionalLong.of(receivedMs)));
        return effectsOfType(effects, RequestEffect.Dispatch.class).get(0).remainingMs();
    }

    @Test
    void ignoresTheDeadlineOfAnEarlierRequestWithTheSameId() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        node.completeAnswer("r", 1);
        node.advance(9_000);
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        node.advance(2_000);
        assertThat(effectsOfType(node.effects, RequestEffect.Respond.class)).isEmpty();
    }

    @Test
    void stopsOnceWhenTheLastRequestHasEnded() {
        node.listBackends(apps(1));
        node.arrive("r", MEAL);
        node.reduce(new LifecycleEvent.StopRequested(10_000));
        assertThat(effectsOfType(node.effects, Effect.Stop.class)).isEmpty();
        node.startWriting("r", 1);
        node.completeAnswer("r", 1);
        node.reduce(new LifecycleEvent.StopRequested(5_000));
        node.advance(20_000);
        assertThat(effectsOfType(node.effects, Effect.Stop.class)).hasSize(1);
    }

    @Test
    void answersUnfinishedRequestsBeforeTheNodeStops() {
        node.policy = new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 10, 1, 256, 2_000, 500, 5, 600_000, 100, 0);
        node.listBackends(apps(1));
        node.arrive("r", MEAL);
        node.startWriting("r", 1);
        node.arrive("q", MEAL);
        node.reduce(new LifecycleEvent.StopRequested(2_000));
        node.advance(1_999);
        assertThat(effectsOfType(node.effects, RequestEffect.Respond.class))
                .extracting(r -> r.id().value() + " " + r.outcome())
                .containsExactlyInAnyOrder("r UNKNOWN", "q NOT_RUN");
        assertThat(effectsOfType(node.effects, Effect.Stop.class)).hasSize(1);
    }

    private Outcome denyClaim(String id, RequestEvent.Denial denial) {
        node.arrive(id, MEAL, "t", Optional.of("k" + id));
        return firstResponse(node.reduce(new RequestEvent.ClaimDenied(new RequestId(id), denial)))
                .outcome();
    }

    @Test
    void doesNotBlameTheServerWhenTheNodeHasNoMemoryForTheAnswer() {
        node.listBackends(app("a1"));
        node.arrive("r1", MEAL);
        node.startWriting("r1", 1);
        List<Effect> ended = node.failAttempt("r1", 1, Step.STREAMING, Kind.NO_ROOM);
        assertThat(firstResponse(ended).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(firstResponse(ended).reason()).isEqualTo("node_full");
        assertThat(node.backendStatus("a1").health().isClean()).isTrue();
        assertThat(Harness.raisedEvents(ended, AttemptObserved.class).get(0).verdict())
                .isEqualTo(AttemptObserved.Verdict.NEUTRAL);
    }
}
