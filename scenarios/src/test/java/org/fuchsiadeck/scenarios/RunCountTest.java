package org.fuchsiadeck.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import org.fuchsiadeck.scenarios.Caller.Answer;
import org.fuchsiadeck.testbed.app.AppFault;
import org.fuchsiadeck.testbed.app.AppFault.Kind;
import org.fuchsiadeck.testbed.app.AppFault.Step;
import org.fuchsiadeck.testbed.proxy.Direction;
import org.fuchsiadeck.testbed.proxy.ProxyAction;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;
import org.fuchsiadeck.testbed.proxy.ProxyStats;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Compares what callers are told of entries with how often they ran, for connections that end at every step. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RunCountTest {
    private static final int TRIES = 4;
    private static final int KEYED_STRIDE = 16;
    private static final int LONGER_IDS_BYTES = 8;

    private final List<Entries> tests = new ArrayList<>();
    private Entries entries = new Entries();
    private Deployment howrah;
    private int made;

    @BeforeAll
    void start() {
        howrah = Deployment.start(Fleets.threeZones(0), Fleets.configuration("suspect_ms", 0), 2);
        howrah.awaitKeysKept();
    }

    @AfterEach
    void mend() {
        howrah.appFaults();
        howrah.renewConnections("registers");
        Entries ended = entries;
        tests.add(ended);
        entries = new Entries();
        ended.check(howrah.runs());
    }

    @AfterAll
    void checkForLateRunsAndStop() {
        try (Deployment ending = howrah) {
            tests.forEach(t -> t.check(ending.runs()));
        }
    }

    @Test
    void tellsTheTruthWhenTheRequestIsCutAtAnyByte() {
        long whole = bytes(ProxyStats::bytesToTarget);
        sweep(Direction.TO_TARGET, whole);
        Map<String, Integer> runs = howrah.runs();
        assertThat(entries.count("unknown", 0, runs)).isPositive();
        assertThat(entries.count("unknown", 1, runs)).isPositive();
    }

    @Test
    void tellsTheTruthWhenTheAnswerIsCutAtAnyByte() {
        long whole = bytes(ProxyStats::bytesToCaller);
        sweep(Direction.TO_CALLER, whole);
        assertThat(entries.count("unknown", 1, howrah.runs())).isGreaterThan(whole / 2);
    }

    @Test
    void saysNotRunWhenNoConnectionCanBeMade() {
        howrah.serviceFaults("registers", ProxyFaults.refusing());
        for (int i = 0; i < TRIES; i++) {
            assertThat(enter(i, Optional.empty()).outcome()).isEqualTo("not-run");
        }
    }

    @Test
    void usesNoConnectionThatHasBeenIdleForLongerThanIsAllowed() {
        howrah.awaitRevision(howrah.apply(configuration(0)));
        for (int i = 0; i < TRIES; i++) {
            assertThat(enter(i, Optional.empty()).status()).isEqualTo(201);
            howrah.serviceFaults("registers", ProxyFaults.of(ProxyAction.SILENCE));
        }
        howrah.awaitRevision(howrah.apply(configuration(1_000)));
    }

    @Test
    void saysUnknownWhenTheConnectionInUseGoesSilent() {
        howrah.serviceFaults("registers", ProxyFaults.holdingAnswers());
        Answer held = enter(0, Optional.empty());
        assertThat(held.outcome()).as(held.toString()).isEqualTo("unknown");
        howrah.serviceFaults("registers", ProxyFaults.of(ProxyAction.SILENCE));
        assertThat(enter(0, Optional.empty()).status()).isEqualTo(201);
    }

    @ParameterizedTest(name = "{0} {1}: {2}")
    @MethodSource
    void tellsTheTruthWhenTheApplicationFails(Kind kind, Step step, String told, int ran) {
        AppFault fault = new AppFault(kind, step, 0, 0, null, 2_000);
        for (int node = 0; node < 2; node++) {
            howrah.appFaults(fault);
            String entry = name();
            Answer answer = entries.add(entry, caller(node).enter(entry, Optional.empty()));
            assertThat(answer.outcome()).as(answer.toString()).isEqualTo(told);
            assertThat(howrah.runs().getOrDefault(entry, 0)).isEqualTo(ran);
            howrah.appFaults(new AppFault(kind, step, 1, 0, null, 2_000));
            retried(node);
        }
    }

    static Stream<Arguments> tellsTheTruthWhenTheApplicationFails() {
        return Stream.of(
                arguments(Kind.REFUSE, Step.BEFORE_RUNNING, "not-run", 0),
                arguments(Kind.FAIL, Step.BEFORE_RUNNING, "unknown", 0),
                arguments(Kind.FAIL, Step.AFTER_RUNNING, "unknown", 1),
                arguments(Kind.CLOSE, Step.BEFORE_READING, "unknown", 0),
                arguments(Kind.CLOSE, Step.BEFORE_RUNNING, "unknown", 0),
                arguments(Kind.CLOSE, Step.AFTER_RUNNING, "unknown", 1),
                arguments(Kind.CLOSE, Step.MID_ANSWER, "unknown", 1),
                arguments(Kind.WRONG_ID, Step.BEFORE_RUNNING, "unknown", 1),
                arguments(Kind.LATE, Step.BEFORE_RUNNING, "unknown", 1));
    }

    private void sweep(Direction way, long whole) {
        for (long n = 1; n <= whole + LONGER_IDS_BYTES; n++) {
            howrah.serviceFaults("registers", ProxyFaults.cuttingAfter(way, n));
            enter((int) n % 2, Optional.empty());
            if (n % KEYED_STRIDE == 0) {
                retried((int) n % 2);
            }
        }
    }

    /** Sends an entry with a key to one node after the other, until it is answered or may have run. */
    private void retried(int node) {
        String entry = name();
        Answer answer = null;
        for (int i = 0; i < TRIES && (answer == null || answer.notRun()); i++) {
            answer = entries.add(entry, caller(node + i).enter(entry, Optional.of(entry)));
        }
        if (!answer.notRun()) {
            entries.add(entry, caller(node + 1).enter(entry, Optional.of(entry)));
        }
    }

    private Answer enter(int node, Optional<String> key) {
        String entry = name();
        return entries.add(entry, caller(node).enter(entry, key));
    }

    /** Measures one entry over connections of its own. */
    private long bytes(ToLongFunction<ProxyStats> way) {
        long before = sum(way);
        assertThat(enter(0, Optional.empty()).status()).isEqualTo(201);
        return sum(way) - before;
    }

    private long sum(ToLongFunction<ProxyStats> way) {
        return howrah.apps().stream()
                .mapToLong(id -> way.applyAsLong(howrah.testbed().proxy(id).stats()))
                .sum();
    }

    private static String configuration(long freshMs) {
        return Fleets.configuration("suspect_ms", 0)
                .replace("[defaults]\n", "[defaults]\nfresh_connection_ms = " + freshMs + "\n");
    }

    private Caller caller(int node) {
        return howrah.caller(node % 2, "ward-12");
    }

    private String name() {
        return "entry-" + made++;
    }
}
