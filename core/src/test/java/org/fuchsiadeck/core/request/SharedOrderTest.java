package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.core.request.RequestEffect.Respond;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;
import static org.fuchsiadeck.core.request.Harness.firstResponse;

/**
 * Guards against requests that are held although they cannot be served in time, that are refused although they can,
 * and whose callers are told to return all at once. Also guards the behaviour without shared scheduling.
 */
class SharedOrderTest {
    private static final Route LOW = route("/low", 0, 100);
    private static final Route URGENT = route("/urgent", 2, 100);

    private final Harness node = new Harness();

    SharedOrderTest() {
        node.routes = List.of(LOW, URGENT);
        node.policy = policy(1, 20);
        node.listBackends(Harness.engine("e1", "v1"));
    }

    private static Route route(String path, int priority, long targetMs) {
        RouteOptions options = new RouteOptions("", false, true, true, 0, targetMs, List.of());
        return new Route(
                path, "assistant", Backend.Kind.ENGINE, "POST", path, true, 10_000, 1_000_000, priority, options);
    }

    private static Policy policy(int shared, int queueLimit) {
        return new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 10, 1, queueLimit, 2_000, 500, 5, 600_000, 100, shared);
    }

    private List<Effect> arrive(String id, Route route, int tokens, long waitMs) {
        CallerRequest.Completion completion =
                new CallerRequest.Completion("m", Optional.empty(), List.of(), tokens, 10);
        CallerRequest call = new CallerRequest(
                "POST",
                route.path(),
                new TeamId("t"),
                Optional.empty(),
                10,
                true,
                Optional.of(completion),
                new CallerRequest.Origin("", waitMs, 0));
        return node.reduce(new RequestEvent.Arrived(new RequestId(id), call));
    }

    /** Lets one request take a time, so that the mean duration of attempts is known. */
    private void observe(long durationMs) {
        arrive("first", LOW, 100, 0);
        node.nowMs += durationMs;
        node.completeAnswer("first", 1);
        arrive("running", LOW, 100, 0);
        node.effects.clear();
    }

    @Test
    void refusesOnArrivalWhatWouldMissItsDeadlineAndSpreadsTheCallers() {
        observe(4_000);
        assertThat(effectsOfType(arrive("w1", LOW, 100, 0), Respond.class)).isEmpty();
        long before = 0;
        for (int i = 0; i < 3; i++) {
            Respond refused = firstResponse(arrive("r" + i, LOW, 100, 6_000));
            assertThat(refused.reason()).isEqualTo("wait_too_long");
            assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(refused.retryAfterMs()).isBetween(Math.max(8_000, before + 1), 30_000L);
            before = refused.retryAfterMs();
        }
        assertThat(node.state.counters().queueing().get("early_refused")).contains(3L);
    }

    @Test
    void countsTheTimeUntilTheFirstTokenOnArrival() {
        observe(4_000);
        assertThat(effectsOfType(arrive("short", LOW, 80, 4_500), Respond.class))
                .isEmpty();
        assertThat(firstResponse(arrive("long", URGENT, 80_000, 4_500)).reason())
                .isEqualTo("wait_too_long");
    }

    @Test
    void keepsARequestThatIsPastItsTargetButUseful() {
        observe(4_000);
        arrive("late", LOW, 100, 0);
        assertThat(effectsOfType(node.advance(3_000), Respond.class)).isEmpty();
        assertThat(firstDispatch(node.completeAnswer("running", 1)).id().value())
                .isEqualTo("late");
    }

    @Test
    void refusesAQueuedRequestWhenItsFirstTokenCanNoLongerComeInTime() {
        observe(100);
        arrive("long", LOW, 80_000, 3_000);
        assertThat(effectsOfType(node.advance(1_990), Respond.class)).isEmpty();
        Respond refused = firstResponse(node.advance(20));
        assertThat(refused.id().value()).isEqualTo("long");
        assertThat(refused.reason()).isEqualTo("wait_too_long");
        assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(node.state.queues().get("assistant").get().size()).isZero();
    }

    @Test
    void evictsTheLastRequestOfAFullQueueAsNotRun() {
        node.policy = policy(1, 2);
        observe(100);
        arrive("low1", LOW, 100, 0);
        arrive("low2", LOW, 100, 0);
        Respond evicted = firstResponse(arrive("urgent", URGENT, 100, 0));
        assertThat(evicted.id().value()).isEqualTo("low2");
        assertThat(evicted.reason()).isEqualTo("queue_full");
        assertThat(evicted.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(firstDispatch(node.completeAnswer("running", 1)).id().value())
                .isEqualTo("urgent");
    }

    /** Another request rises by one priority per target latency, and is dispatched ahead of an urgent one. */
    @Test
    void countsAgedAndOvertakingRequests() {
        observe(100);
        arrive("low", LOW, 100, 0);
        node.advance(1_000);
        arrive("urgent", URGENT, 100, 0);
        assertThat(firstDispatch(node.completeAnswer("running", 1)).id().value())
                .isEqualTo("low");
        assertThat(node.state.counters().queueing().get("aged")).contains(1L);
        arrive("later", LOW, 100, 0);
        node.nowMs += 1;
        arrive("urgent2", URGENT, 100, 0);
        node.completeAnswer("low", 1);
        assertThat(node.state.counters().queueing().get("overtaken").isEmpty()).isTrue();
    }

    @Test
    void countsARequestThatOvertakesALateOneOfItsTeam() {
        observe(100);
        arrive("late", LOW, 12_000, 0);
        node.nowMs += 1;
        arrive("on time", LOW, 100, 0);
        assertThat(firstDispatch(node.completeAnswer("running", 1)).id().value())
                .isEqualTo("on time");
        assertThat(node.state.counters().queueing().get("overtaken")).contains(1L);
    }

    @Test
    void logsPositionAndPredictedWait() {
        observe(400);
        arrive("w1", LOW, 100, 0);
        Map<String, Object> fields = waitFields(arrive("w2", LOW, 100, 0));
        assertThat(fields).containsEntry("position", 2).containsEntry("predicted_wait_ms", 800L);
    }

    @Test
    void changesNothingWithoutSharedScheduling() {
        node.policy = policy(0, 20);
        observe(400);
        assertThat(waitFields(arrive("w1", LOW, 80_000, 0))).doesNotContainKeys("position", "predicted_wait_ms");
        arrive("w2", URGENT, 100, 0);
        node.advance(9_000);
        assertThat(firstDispatch(node.completeAnswer("running", 1)).id().value())
                .isEqualTo("w2");
        assertThat(node.state.counters().queueing()).isEmpty();
        node.completeAnswer("w2", 1);
        assertThat(node.state.queues()).isEmpty();
    }

    private static Map<String, Object> waitFields(List<Effect> effects) {
        return effectsOfType(effects, Effect.Log.class).stream()
                .filter(l -> l.code() == EventCode.REQUEST_WAITS)
                .findFirst()
                .orElseThrow()
                .fields();
    }
}
