package org.fuchsiadeck.core.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect.Dispatch;
import org.fuchsiadeck.core.request.RequestEvent.Timer;
import org.fuchsiadeck.core.request.RequestEvent.TimerFired;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fuchsiadeck.core.request.Harness.MEAL;
import static org.fuchsiadeck.core.request.Harness.STATUS;
import static org.fuchsiadeck.core.request.Harness.app;
import static org.fuchsiadeck.core.request.Harness.effectsOfType;
import static org.fuchsiadeck.core.request.Harness.firstDispatch;
import static org.fuchsiadeck.core.request.Harness.firstResponse;

/**
 * Guards against configured exceptions to a policy that do not apply to what they match, apply to anything else, or
 * still apply after their expiry.
 */
class PolicyExceptionsTest {
    private static final long EXPIRES_MS = 5_000;

    private final Harness node = new Harness();

    @Test
    void overridesTheConnectTimeoutOnlyInItsZone() {
        node.exceptions = List.of(rule(Map.of("zone", "dumdum"), "connect_timeout_ms", 900));
        node.listBackends(app("far", "dumdum"));
        assertThat(timerDueMs(node.arrive("r1", STATUS), Timer.CONNECT)).isEqualTo(node.nowMs + 900);
        node.listBackends(app("near", "howrah"));
        assertThat(timerDueMs(node.arrive("r2", STATUS), Timer.CONNECT)).isEqualTo(node.nowMs + 300);
    }

    @ParameterizedTest
    @CsvSource({"4999, 900", "5000, 300", "4999, 900"})
    void hasNoEffectFromItsExpiryOn(long wallMs, long timeoutMs) {
        node.exceptions = List.of(new ExceptionRule(
                "slow switch",
                Map.of("zone", "dumdum"),
                Map.of("connect_timeout_ms", 900L),
                OptionalLong.of(EXPIRES_MS)));
        node.listBackends(app("far", "dumdum"));
        node.wallMs = EXPIRES_MS - 1;
        node.arrive("before", STATUS);
        node.wallMs = wallMs;
        assertThat(timerDueMs(node.arrive("r1", STATUS), Timer.CONNECT)).isEqualTo(node.nowMs + timeoutMs);
    }

    @Test
    void overridesTheFirstByteTimeoutOfARouteAtOneServer() {
        node.exceptions = List.of(rule(Map.of("route", "status", "backend", "a1"), "first_byte_timeout_ms", 9_000));
        node.listBackends(app("a1"));
        node.arrive("r1", STATUS);
        node.arrive("r2", MEAL);
        node.startWriting("r1", 1);
        node.startWriting("r2", 1);
        assertThat(dueTimeMs("r1")).isEqualTo(node.nowMs + 9_000);
        assertThat(dueTimeMs("r2")).isEqualTo(node.nowMs + 5_000);
    }

    @Test
    void limitsTheConcurrencyOfOneZone() {
        node.exceptions = List.of(rule(Map.of("zone", "dumdum"), "backend_concurrency", 1));
        node.listBackends(app("far", "dumdum"), app("near", "howrah"));
        IntStream.range(0, 5).forEach(i -> node.arrive("r" + i, STATUS));
        assertThat(node.backendStatus("far").inFlight()).isEqualTo(1);
        assertThat(node.backendStatus("near").inFlight()).isEqualTo(4);
    }

    @Test
    void limitsTheQueueOfATeam() {
        node.teams = List.of(new Team(new TeamId("big"), 1), new Team(new TeamId("small"), 1));
        node.exceptions =
                List.of(rule(Map.of("team", "big"), "queue_limit", 0), rule(Map.of(), "backend_concurrency", 1));
        node.listBackends(app("a1"));
        node.arrive("running", STATUS);
        assertThat(firstResponse(node.arrive("r1", STATUS, "big", Optional.empty()))
                        .reason())
                .isEqualTo("queue_full");
        assertThat(effectsOfType(node.arrive("r2", STATUS, "small", Optional.empty()), RequestEffect.Respond.class))
                .isEmpty();
    }

    @Test
    void limitsTheAttemptsOfARoute() {
        node.exceptions = List.of(rule(Map.of("route", "status"), "max_attempts", 1));
        node.listBackends(app("a1"), app("a2"));
        node.arrive("r1", STATUS);
        node.startWriting("r1", 1);
        assertThat(effectsOfType(node.failAttempt("r1", 1, Step.AWAITING, Kind.CLOSED), Dispatch.class))
                .isEmpty();
    }

    @Test
    void prefersServersWithAGreaterWeight() {
        node.exceptions = List.of(rule(Map.of("zone", "dumdum"), "weight", 300));
        node.listBackends(app("far", "dumdum"), app("near", "howrah"));
        IntStream.range(0, 4).forEach(i -> node.arrive("r" + i, STATUS));
        assertThat(node.backendStatus("far").inFlight()).isEqualTo(3);
        assertThat(node.backendStatus("near").inFlight()).isEqualTo(1);
    }

    @Test
    void overridesTheConnectionAgeOfOneVersion() {
        node.exceptions = List.of(rule(Map.of("version", "v1"), "connection_max_age_ms", 7_000));
        node.listBackends(app("a1"));
        assertThat(firstDispatch(node.arrive("r1", STATUS)).maxIdleMs()).isEqualTo(7_000);
    }

    private long dueTimeMs(String id) {
        return node.state.open().get(new RequestId(id)).get().attempt().get().dueMs();
    }

    private static ExceptionRule rule(Map<String, String> match, String key, long value) {
        return new ExceptionRule("for the test", match, Map.of(key, value), OptionalLong.empty());
    }

    private static long timerDueMs(List<Effect> effects, Timer kind) {
        return effectsOfType(effects, Effect.Schedule.class).stream()
                .filter(s -> s.event() instanceof TimerFired t && t.timer() == kind)
                .findFirst()
                .orElseThrow()
                .atMs();
    }
}
