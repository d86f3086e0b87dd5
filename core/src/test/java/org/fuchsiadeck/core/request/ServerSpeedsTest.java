package org.fuchsiadeck.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.ToLongFunction;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.speed.SpeedState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;
import static org.fuchsiadeck.core.request.Harness.DRAFT;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.apps;
import static org.fuchsiadeck.core.request.Harness.engine;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;

/** Guards against speeds that change decisions of services that report none, and that are without effect for others. */
class ServerSpeedsTest {
    private static final BackendId SLOW = new BackendId("a0");
    private int requests;

    private static Optional<BackendReport> report(OptionalDouble slowdown) {
        return Optional.of(new BackendReport(
                Optional.of(new BackendReport.Load(0, 0, 0, slowdown)), false, 0, OptionalDouble.empty()));
    }

    private static Harness harness(Router router) {
        return new Harness(new RequestReducer(router));
    }

    /** Sends requests one after the other and returns the servers that got them. */
    private List<BackendId> run(Harness node, int count, OptionalDouble slowdown, ToLongFunction<BackendId> tookMs) {
        List<BackendId> placed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "r" + requests++;
            RequestEffect.Dispatch dispatch = firstDispatch(node.arrive(id, STATUS));
            BackendId server = dispatch.backend().id();
            placed.add(server);
            node.startWriting(id, 1);
            node.advance(tookMs.applyAsLong(server));
            node.reduce(new RequestEvent.AnswerCompleted(new RequestId(id), 1, 200, 0, 0, report(slowdown)));
            node.advance(1_000);
        }
        return placed;
    }

    private static Router router(String name) {
        return name.equals("affinity") ? Router.affinity() : Router.betterOfTwo();
    }

    /** A service without prompts: only the time to first byte tells the speed. A slow server is tried again at times. */
    @ParameterizedTest
    @ValueSource(strings = {"affinity", "better-of-two"})
    void requestsWithoutAPromptGoToFastServers(String name) {
        Harness node = harness(router(name));
        node.listBackends(apps(4));
        run(node, 100, OptionalDouble.of(1), id -> id.equals(SLOW) ? 110 : 50);
        int count = 400;
        List<BackendId> placed = run(node, count, OptionalDouble.of(1), id -> id.equals(SLOW) ? 110 : 50);
        int equalShare = count / 4;
        assertThat(placed).filteredOn(SLOW::equals).hasSizeLessThan(equalShare / 2);
    }

    /** A server that is slowed down by other work on its machine gets no request while others are idle. */
    @ParameterizedTest
    @ValueSource(strings = {"affinity", "better-of-two"})
    void requestsAvoidAServerThatReportsASlowdown(String name) {
        Harness node = harness(router(name));
        node.listBackends(apps(2));
        run(node, 60, OptionalDouble.of(1), id -> 50);
        node.arrive("slowed", STATUS);
        BackendId slowed = node.state
                .open()
                .get(new RequestId("slowed"))
                .get()
                .attempt()
                .get()
                .backend()
                .id();
        node.startWriting("slowed", 1);
        node.reduce(new RequestEvent.AnswerCompleted(
                new RequestId("slowed"), 1, 200, 0, 0, report(OptionalDouble.of(2.5))));
        for (int i = 0; i < 2; i++) {
            RequestEffect.Dispatch dispatch = firstDispatch(node.arrive("next" + i, STATUS));
            assertThat(dispatch.backend().id()).isNotEqualTo(slowed);
            node.startWriting("next" + i, 1);
            node.advance(50);
            node.reduce(new RequestEvent.AnswerCompleted(
                    new RequestId("next" + i), 1, 200, 0, 0, report(OptionalDouble.of(1))));
        }
    }

    /** Without a reported slowdown, no state is kept and every decision stays as it was. */
    @Test
    void nothingIsLearnedWithoutAReportedSlowdown() {
        Harness node = harness(Router.affinity());
        node.listBackends(apps(4));
        run(node, 200, OptionalDouble.empty(), id -> id.equals(SLOW) ? 110 : 50);
        assertThat(node.state.speeds()).isEqualTo(SpeedState.NONE);
    }

    /** A server that does not respond is a matter of its health; its speed stays as it was. */
    @Test
    void aServerThatDoesNotRespondIsNotSlow() {
        Harness node = harness(Router.affinity());
        node.listBackends(apps(2));
        run(node, 100, OptionalDouble.of(1), id -> 50);
        SpeedState before = node.state.speeds();
        for (int i = 0; i < 20; i++) {
            List<Effect> placed = node.arrive("silent" + i, STATUS);
            if (Harness.effectsOfType(placed, RequestEffect.Dispatch.class).isEmpty()) {
                continue;
            }
            node.startWriting("silent" + i, 1);
            node.failAttempt("silent" + i, 1, Failure.Step.AWAITING, Failure.Kind.TIMEOUT);
        }
        assertThat(node.state.speeds().fits()).isEqualTo(before.fits());
        assertThat(node.state.speeds().learnedSpeed(SLOW)).isEqualTo(before.learnedSpeed(SLOW));
    }

    /** The number of servers that are ordered follows from the server time of requests. */
    @Test
    void theServerTimeOfRequestsFollowsTheFittedRate() {
        Harness node = harness(Router.affinity());
        node.listBackends(engine("e1", "v1"));
        double tokensPerMs = 40;
        double beforeMs = 0;
        int tokens = 0;
        for (int i = 0; i < 101; i++) {
            tokens = 1_000 + 997 * i % 5_000;
            beforeMs = node.state
                    .loads()
                    .get("assistant")
                    .map(l -> l.time().meanMs())
                    .getOrElse(0.0);
            CallerRequest.Completion completion =
                    new CallerRequest.Completion("m", Optional.empty(), List.of((long) i), tokens, 1);
            String id = "p" + i;
            node.reduce(new RequestEvent.Arrived(
                    new RequestId(id),
                    new CallerRequest(
                            DRAFT.method(),
                            DRAFT.path(),
                            new TeamId("t"),
                            Optional.empty(),
                            10,
                            true,
                            Optional.of(completion))));
            node.startWriting(id, 1);
            node.advance(Math.round(10 + tokens / tokensPerMs));
            node.reduce(new RequestEvent.AnswerStarted(new RequestId(id), 1, report(OptionalDouble.of(1))));
            node.reduce(new RequestEvent.AnswerCompleted(new RequestId(id), 1, 200, 1, 0, Optional.empty()));
            node.advance(1_000);
        }
        double afterMs = node.state.loads().get("assistant").get().time().meanMs();
        int averaged = 50;
        double lastMs = beforeMs + averaged * (afterMs - beforeMs);
        assertThat(lastMs).isCloseTo(tokens / tokensPerMs, withinPercentage(10));
    }

    /** An answer that is not streamed arrives when all of it is generated, which says nothing about the prompt. */
    @Test
    void wholeCompletionsAreNoEvidenceOfThePrefillRate() {
        Harness node = harness(Router.affinity());
        node.listBackends(engine("e1", "v1"));
        node.arrive("d", DRAFT);
        node.startWriting("d", 1);
        node.advance(5_000);
        node.reduce(new RequestEvent.AnswerCompleted(new RequestId("d"), 1, 200, 9, 0, report(OptionalDouble.of(1))));
        assertThat(node.state.speeds().fits()).isEmpty();
        node.arrive("s", DRAFT);
        node.startWriting("s", 1);
        node.advance(40);
        node.reduce(new RequestEvent.AnswerStarted(new RequestId("s"), 1, report(OptionalDouble.of(1))));
        assertThat(node.state.speeds().fits().get("assistant").get().ms()).isEqualTo(40);
    }
}
