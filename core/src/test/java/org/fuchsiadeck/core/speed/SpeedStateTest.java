package org.fuchsiadeck.core.speed;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.limit.ConcurrencyLimit;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Health;
import org.fuchsiadeck.core.routing.ReportedLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Guards against speeds that are wrong because reports are false or stop, or because there is little evidence. */
class SpeedStateTest {
    private static final Zone ZONE = new Zone("z");
    private static final String SERVICE = "model";
    private static final int SERVERS = 12;
    private static final double TOKENS_PER_MS = 50;
    private static final double BASE_MS = 10;

    /** The factor to which speeds are rounded. */
    private static final double STEP = Math.sqrt(2);

    private final Random random = new Random(2);
    private Map<BackendId, BackendStatus> servers = HashMap.empty();
    private SpeedState state = SpeedState.NONE;
    private long nowMs = 1_000;

    SpeedStateTest() {
        for (int i = 0; i < SERVERS; i++) {
            BackendStatus status = new BackendStatus(
                    backend(i),
                    true,
                    0,
                    0,
                    ConcurrencyLimit.start(48, 100),
                    Health.GOOD,
                    ReportedLoad.NONE,
                    "",
                    Long.MIN_VALUE);
            servers = servers.put(backend(i).id(), status);
        }
    }

    private static Backend backend(int i) {
        return new Backend(
                new BackendId("s" + i),
                new Address("10.0.0.2", 1),
                ZONE,
                Backend.Kind.ENGINE,
                SERVICE,
                "v1",
                Set.of(),
                Set.of(),
                Set.of(),
                48,
                1,
                true,
                false);
    }

    private static BackendReport.Load report(double slowdown) {
        return new BackendReport.Load(0, 0, 0, OptionalDouble.of(slowdown));
    }

    /** Lets every server answer requests of different sizes, with the given speeds and reported slowdowns. */
    private void observe(int requests, IntToDoubleFunction speed, IntToDoubleFunction reported) {
        for (int n = 0; n < requests; n++) {
            for (int i = 0; i < SERVERS; i++) {
                nowMs += 5;
                int tokens = 200 + random.nextInt(8_000);
                double tookMs = (BASE_MS + tokens / TOKENS_PER_MS) / speed.applyAsDouble(i);
                state = state.withReport(backend(i).id(), report(reported.applyAsDouble(i)), nowMs)
                        .withObservation(backend(i), tokens, tookMs, nowMs);
            }
        }
        nowMs += 2_000;
        refresh(state);
    }

    private void refresh(SpeedState from) {
        state = from.refreshed(SERVICE, servers, id -> ServerTimes.NONE, nowMs);
    }

    private double speed(int server) {
        return state.estimates(SERVICE, ZONE, nowMs).speed().applyAsDouble(backend(server));
    }

    private double learned(int server) {
        return state.learnedSpeed(backend(server).id());
    }

    @Test
    void aReportHasNoWeightAfter500Ms() {
        state = state.withReport(backend(0).id(), report(2.5), nowMs);
        assertThat(speed(0)).isCloseTo(1 / 2.5, within(1e-9));
        nowMs += 250;
        assertThat(speed(0)).isBetween(1 / 2.5, 1.0);
        nowMs += 250;
        assertThat(speed(0)).isEqualTo(1);
    }

    /** Other work on the machine has ended since, but the server sends no more reports. */
    @Test
    void reportsThatStopLeaveTheLearnedSpeedOnly() {
        observe(100, i -> i == 0 ? 0.45 : 1, i -> 1);
        double learned = speed(0);
        state = state.withReport(backend(0).id(), report(2.5), nowMs);
        nowMs += ReportedSlowdown.MAX_AGE_MS;
        assertThat(speed(0)).isEqualTo(learned);
    }

    @Test
    void learnsTheRateAndTheSpeedOfSlowServers() {
        observe(200, i -> i % 4 == 0 ? 0.45 : 1, i -> 1);
        assertThat(learned(0) / learned(1)).isCloseTo(0.45, within(0.1));
        double meanTimeRatio = 0.75 + 0.25 / 0.45;
        assertThat(state.tokensPerMs(SERVICE).orElseThrow())
                .isCloseTo(TOKENS_PER_MS / meanTimeRatio, within(0.15 * TOKENS_PER_MS));
    }

    /** A server would attract or shed most requests if false reports were believed for long. */
    @ParameterizedTest
    @ValueSource(doubles = {0.01, 0.5, 2.5, 4, 100})
    void reportsThatAreAlwaysFalseAreLearnedToBeFalse(double claimed) {
        observe(300, i -> 1, i -> i == 0 ? claimed : 1);
        state = state.withReport(backend(0).id(), report(claimed), nowMs);
        assertThat(speed(0)).isBetween(1 / STEP - 1e-9, STEP + 1e-9);
    }

    /** Before it is learned, a false report changes the speed by a bounded factor. */
    @ParameterizedTest
    @ValueSource(doubles = {0.01, 100})
    void aFalseReportIsBounded(double claimed) {
        state = state.withReport(backend(0).id(), report(claimed), nowMs);
        assertThat(speed(0)).isBetween(0.25, 1.25);
    }

    @Test
    void aNodeThatHasJustStartedTakesAllServersAsUsual() {
        refresh(SpeedState.NONE);
        for (int i = 0; i < SERVERS; i++) {
            assertThat(speed(i)).isEqualTo(1);
        }
        assertThat(state.estimates(SERVICE, ZONE, nowMs).prefillTokensPerMs())
                .isEqualTo(EngineTime.PREFILL_TOKENS_PER_MS);
    }

    /** A node that has just started gets the sums of the others, and has no fit of its own. */
    @Test
    void sumsOfOtherNodesAreEnough() {
        state = state.refreshed(
                SERVICE, servers, id -> new ServerTimes(id.equals(backend(0).id()) ? 40_000 : 18_000, 20_000), nowMs);
        assertThat(learned(0) / learned(1)).isCloseTo(0.45, within(0.1));
    }

    /** The aggregators are lost: the other nodes' sums are gone, the own ones remain. */
    @Test
    void ownSumsRemainWhenThoseOfOthersAreLost() {
        observe(200, i -> i == 0 ? 0.45 : 1, i -> 1);
        nowMs += 2_000;
        state = state.refreshed(SERVICE, servers, id -> new ServerTimes(50_000, 50_000), nowMs);
        nowMs += 2_000;
        refresh(state);
        assertThat(learned(0) / learned(1)).isCloseTo(0.45, within(0.1));
    }

    @Test
    void fewObservationsChangeTheSpeedLittle() {
        observe(40, i -> 1, i -> 1);
        state = state.withObservation(backend(0), 1_000, 100_000, nowMs);
        nowMs += 2_000;
        refresh(state);
        assertThat(learned(0)).isBetween(0.85, 1.0);
        assertThat(speed(0)).isEqualTo(1);
    }

    /** Half of the servers become slow at once: their speed stays relative to that of all servers. */
    @Test
    void halfOfTheServersSlowAtOnce() {
        observe(200, i -> 1, i -> 1);
        observe(1_000, i -> i % 2 == 0 ? 0.45 : 1, i -> 1);
        for (int i = 0; i < SERVERS; i++) {
            assertThat(learned(i)).isBetween(ServerTimes.MIN_SPEED, ServerTimes.MAX_SPEED);
        }
        assertThat(learned(0) / learned(1)).isBetween(0.4, 0.7);
        assertThat(learned(0)).isLessThan(1);
        assertThat(learned(1)).isGreaterThan(1);
    }

    /** Speeds near the edge of two steps differ a little over time and between nodes. */
    @Test
    void stepsDoNotChangeBackAndForth() {
        LearnedSpeed speed = LearnedSpeed.USUAL.next(0.6);
        int step = speed.step();
        for (double next : List.of(0.55, 0.62, 0.57, 0.64, 0.6)) {
            speed = speed.next(next);
            assertThat(speed.step()).isEqualTo(step);
        }
        assertThat(speed.next(1).step()).isZero();
    }

    @Test
    void forgetsServersThatAreGone() {
        observe(100, i -> i % 4 == 0 ? 0.45 : 1, i -> 1);
        servers = HashMap.empty();
        nowMs += 2_000;
        refresh(state);
        assertThat(state.learned()).isEmpty();
        assertThat(state.times()).isEmpty();
        assertThat(state.slowdowns()).isEmpty();
    }
}
