package org.fuchsiadeck.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.fuchsiadeck.scenarios.Caller.Streamed;
import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.Tokens;
import org.fuchsiadeck.testbed.proxy.Direction;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Ends streams at many places, and checks that their readers get each token of one version once. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StreamTest {
    private static final int TOKENS = 60;
    private static final long SEED = 20_260_412;
    private static final long NOTICE_MS = 250;
    private static final long FIRST_CUT_BYTES = 400;
    private static final long LAST_CUT_BYTES = 2_400;
    private static final long CUT_STEP_BYTES = 31;
    private static final CostModel COST = new CostModel(20, 4_000, 0, 5);

    private Deployment howrah;
    private Caller caller;
    private int spares;

    @BeforeAll
    void start() {
        String configuration = Fleets.configuration("suspect_ms", 0);
        howrah = Deployment.start(Fleets.threeZones(new AppSettings(0, 0), COST), configuration, 1);
        add("v2");
        add("v2");
        caller = howrah.caller(0, World.TEAM);
    }

    @AfterAll
    void stop() {
        howrah.close();
    }

    @ParameterizedTest(name = "token {0}")
    @MethodSource("places")
    void resumesAStreamWhoseEngineIsKilled(int place) {
        String prompt = "killed at " + place;
        assertWhole(prompt, read(prompt, place, this::killBusyEngine));
    }

    @ParameterizedTest(name = "token {0}")
    @MethodSource("places")
    void movesAStreamWhoseEngineIsReclaimed(int place) {
        String prompt = "reclaimed at " + place;
        assertWhole(prompt, read(prompt, place, this::reclaimBusyEngine));
    }

    @ParameterizedTest(name = "token {0}")
    @MethodSource("places")
    void movesTheCacheOfAStreamWithALongPrompt(int place) {
        String prompt = "a month of registers ".repeat(150) + place;
        assertWhole(prompt, read(prompt, place, this::reclaimBusyEngine));
    }

    @Test
    void resumesAStreamThatIsCutAtAnyByteOfEveryAttempt() {
        for (long n = FIRST_CUT_BYTES; n < LAST_CUT_BYTES; n += CUT_STEP_BYTES) {
            howrah.renewConnections("assistant");
            howrah.serviceFaults("assistant", ProxyFaults.cuttingAfter(Direction.TO_CALLER, n));
            String prompt = "cut after " + n;
            assertWhole(prompt, read(prompt, 0, () -> {}));
        }
        howrah.renewConnections("assistant");
    }

    static IntStream places() {
        Random random = new Random(SEED);
        return IntStream.concat(IntStream.of(1, TOKENS - 1), random.ints(4, 2, TOKENS - 1));
    }

    private Streamed read(String prompt, int place, Runnable fault) {
        awaitListed();
        String body = Prompts.notice(prompt, TOKENS);
        CompletableFuture<Void> failed = new CompletableFuture<>();
        Streamed answer = caller.stream(World.NOTICE, body, n -> {
                    if (n == place) {
                        fault.run();
                        failed.complete(null);
                    }
                })
                .join();
        assertThat(place == 0 || failed.isDone()).isTrue();
        return answer;
    }

    private void killBusyEngine() {
        for (String id : busy()) {
            howrah.testbed().stop(id);
            restart(id);
        }
    }

    /** Gives notice to the engine in use, and adds one of its version: a node believes for long that it leaves. */
    private void reclaimBusyEngine() {
        for (String id : busy()) {
            String version = howrah.testbed().engine(id).state().version();
            howrah.testbed().leave(id, NOTICE_MS);
            add(version);
        }
    }

    private void add(String version) {
        String id = "spare-" + ++spares;
        try {
            howrah.testbed().add(Fleets.engine(id, "behala", version, COST));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void awaitListed() {
        String id = "spare-" + spares;
        Waiting.until("the node knows " + id, () -> howrah.nodes().get(0).knows(id));
    }

    private List<String> busy() {
        return howrah.backends("assistant").stream()
                .filter(id -> howrah.testbed().engine(id).running() > 0)
                .toList();
    }

    private void restart(String id) {
        try {
            howrah.testbed().restart(id);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void assertWhole(String prompt, Streamed answer) {
        String first = Tokens.text("v1", prompt, TOKENS);
        String second = Tokens.text("v2", prompt, TOKENS);
        assertThat(Prompts.text(answer)).isIn(first, second);
    }
}
