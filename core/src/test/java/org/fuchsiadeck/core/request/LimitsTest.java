package org.fuchsiadeck.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect.Dispatch;
import org.fuchsiadeck.core.request.RequestEffect.Respond;
import org.fuchsiadeck.core.share.ShareEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.MEAL;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.app;
import static org.fuchsiadeck.core.request.Harness.apps;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;
import static org.fuchsiadeck.core.request.Harness.firstResponse;
import static org.fuchsiadeck.core.request.Harness.rolloutShares;

/**
 * Guards against unfair or unbounded use of backend servers and of the node's memory: queues, quotas, retry budgets,
 * suspected servers and traffic shares of versions.
 */
class LimitsTest {
    private final Harness node = new Harness();

    @Test
    void servesTeamsFairlyWhenOneSendsTenTimesMore() {
        node.policy = policy(1, 20);
        node.teams = List.of(new Team(new TeamId("big"), 1), new Team(new TeamId("small"), 1));
        node.listBackends(app("a1"));
        Map<String, Integer> answered = new HashMap<>();
        List<RequestId> running = new ArrayList<>();
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < 10; i++) {
                addDispatched(node.arrive("big-" + round + "-" + i, STATUS, "big", Optional.empty()), running);
            }
            addDispatched(node.arrive("small-" + round, STATUS, "small", Optional.empty()), running);
            for (int i = 0; i < 2; i++) {
                node.nowMs += 5;
                RequestId id = running.remove(0);
                answered.merge(id.value().split("-")[0], 1, Integer::sum);
                addDispatched(node.completeAnswer(id.value(), 1), running);
            }
        }
        assertThat(answered.get("small")).isGreaterThanOrEqualTo(95);
        assertThat(answered.get("big")).isGreaterThanOrEqualTo(95);
    }

    /** A queued request may be dispatched at any moment, so that it must be counted before it is queued. */
    @Test
    void countsAQueuedRequestAgainstTheQuotaOnceOnArrival() {
        node.policy = policy(1, 20);
        node.listBackends(app("a1"));
        node.arrive("r1", STATUS);
        assertThat(countSpentEvents(node.arrive("r2", STATUS))).isEqualTo(1);
        List<Effect> effects = node.completeAnswer("r1", 1);
        assertThat(firstDispatch(effects).id().value()).isEqualTo("r2");
        assertThat(countSpentEvents(effects)).isZero();
    }

    private static long countSpentEvents(List<Effect> effects) {
        return effectsOfType(effects, Effect.Raise.class).stream()
                .filter(r -> r.event() instanceof ShareEvent.Spent)
                .count();
    }

    @Test
    void refusesARequestThatWouldWaitPastItsDeadline() {
        node.policy = policy(1, 1_000);
        node.listBackends(app("a1"));
        node.arrive("first", MEAL);
        node.nowMs += 4_000;
        node.completeAnswer("first", 1);
        node.arrive("running", MEAL);
        node.arrive("w1", MEAL);
        node.arrive("w2", MEAL);
        Respond refused = firstResponse(node.arrive("w3", MEAL));
        assertThat(refused.reason()).isEqualTo("wait_too_long");
        assertThat(refused.retryAfterMs()).isBetween(12_000L, 24_000L);
    }

    @Test
    void keepsRetriesWithinTheBudgetWhenHalfTheServersFail() {
        node.listBackends(apps(40));
        int requests = 160;
        List<Dispatch> first = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            first.addAll(effectsOfType(node.arrive("r" + i, STATUS), Dispatch.class));
        }
        first.forEach(d -> node.startWriting(d.id().value(), 1));
        node.effects.clear();
        for (Dispatch d : first) {
            if (isFailed(d.backend())) {
                node.failAttempt(d.id().value(), 1, Step.AWAITING, Kind.CLOSED);
            } else {
                node.completeAnswer(d.id().value(), 1);
            }
        }
        int retries = effectsOfType(node.effects, Dispatch.class).size();
        assertThat(retries).isBetween(1, 10 + requests / 10);
        assertThat(effectsOfType(node.effects, Respond.class))
                .allMatch(r -> r.reason().equals("retry_budget"));
    }

    @Test
    void refusesWhileAllServersAreSuspectedAndSendsOneTrialRequestLater() {
        node.listBackends(app("a1"));
        node.arrive("r", MEAL);
        node.failAttempt("r", 1, Step.CONNECTING, Kind.UNREACHABLE);
        assertThat(firstResponse(node.arrive("s", MEAL)).reason()).isEqualTo("backends_suspected");
        node.advance(node.policy.suspectMs());
        Dispatch trial = firstDispatch(node.arrive("t", MEAL));
        assertThat(trial.maxIdleMs()).isZero();
        assertThat(firstResponse(node.arrive("u", MEAL)).reason()).isEqualTo("backends_suspected");
        node.startWriting("t", 1);
        node.completeAnswer("t", 1);
        assertThat(firstDispatch(node.arrive("v", MEAL)).maxIdleMs()).isEqualTo(node.policy.freshConnectionMs());
    }

    @Test
    void keepsTheTrafficShareOfANewVersionAndAvoidsACondemnedOne() {
        node.policy = policy(100, 256);
        node.shares = rolloutShares(0.2);
        node.listBackends(
                Harness.backend("a1", "registers", Backend.Kind.APPLICATION, "v1", 1_000, false),
                Harness.backend("a2", "registers", Backend.Kind.APPLICATION, "v2", 1_000, false));
        int newVersionCount = 0;
        for (int i = 0; i < 1_000; i++) {
            Dispatch dispatch = firstDispatch(node.arrive("r" + i, STATUS));
            newVersionCount += dispatch.backend().version().equals("v2") ? 1 : 0;
            node.completeAnswer("r" + i, 1);
        }
        assertThat(newVersionCount).isBetween(150, 250);
        node.shares =
                new VersionShares(node.shares.services(), Set.of(new VersionShares.ServiceVersion("registers", "v2")));
        for (int i = 0; i < 100; i++) {
            assertThat(firstDispatch(node.arrive("c" + i, STATUS)).backend().version())
                    .isEqualTo("v1");
            node.completeAnswer("c" + i, 1);
        }
    }

    @Test
    void dispatchesAQueuedRequestWhenAServerIsListed() {
        node.policy = policy(1, 10);
        node.listBackends(app("a1"));
        node.arrive("r", MEAL);
        assertThat(effectsOfType(node.arrive("w", MEAL), Dispatch.class)).isEmpty();
        node.effects.clear();
        node.listBackends(app("a1"), app("a2"));
        assertThat(firstDispatch(node.effects).id()).isEqualTo(new RequestId("w"));
    }

    @Test
    void boundsTheStateThatCallersCanCreate() {
        node.listBackends(Harness.engine("e1", "v1"));
        for (int i = 0; i < 1_000; i++) {
            CallerRequest.Completion unknown =
                    new CallerRequest.Completion("model" + i, Optional.empty(), List.of(), 1, 1);
            CallerRequest request = new CallerRequest(
                    "POST", "/draft", new TeamId("team" + i), Optional.empty(), 1, true, Optional.of(unknown));
            assertThat(firstResponse(node.reduce(new RequestEvent.Arrived(new RequestId("r" + i), request)))
                            .reason())
                    .isEqualTo("no_backend");
        }
        assertThat(node.state.fleet().pools().size()).isLessThanOrEqualTo(256);
        assertThat(node.state.decisions().size()).isEqualTo(64);
        assertThat(node.state.open().size()).isZero();
    }

    private static boolean isFailed(Backend backend) {
        return backend.id().value().hashCode() % 2 == 0;
    }

    private static void addDispatched(List<Effect> effects, List<RequestId> running) {
        effectsOfType(effects, Dispatch.class).forEach(d -> running.add(d.id()));
    }

    private static Policy policy(int concurrency, int queueLimit) {
        return new Policy(
                300, 5_000, 2_000, 60_000, 1_000, 3, 10, concurrency, queueLimit, 2_000, 500, 5, 600_000, 100, 0);
    }
}
