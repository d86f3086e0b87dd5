package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.util.List;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.HttpCalls;
import org.fuchsiadeck.testbed.BackendSpec;
import org.fuchsiadeck.testbed.Testbed;
import org.fuchsiadeck.testbed.TestbedSpec;
import org.fuchsiadeck.testbed.app.AppFault;
import org.fuchsiadeck.testbed.app.AppFaults;
import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineFaults;
import org.fuchsiadeck.testbed.engine.EngineSettings;
import org.fuchsiadeck.testbed.engine.VersionFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Load straight to the stand-ins, which show each fault to the tool as it is. */
class LoadRunTest {
    private static final long SEED = 5;
    private static final double RATE_PER_S = 60;

    private final Experiment entries = only(RequestMix.Kind.ENTRY);
    private final Experiment streams = only(RequestMix.Kind.STREAM);
    private Testbed testbed;

    @BeforeEach
    void start() throws IOException {
        testbed = Testbed.start(TestbedSpec.of(
                BackendSpec.app("app", "sur", "visits", "v1", AppSettings.defaults()),
                BackendSpec.engine("engine", "sur", "drafting", "v1", "m", EngineSettings.with(CostModel.free()))));
    }

    @AfterEach
    void stop() {
        testbed.close();
    }

    @Test
    void cleanRunBreaksNoPromise() throws InterruptedException {
        Seen seen = run(streams, "engine");
        assertThat(seen.audit.broken()).isFalse();
        assertThat(seen.results).isNotEmpty().allMatch(Result::answered);
        assertThat(seen.results).allMatch(r -> r.firstTokenNs() > 0 && r.latencyNs() >= r.firstTokenNs());
        Prefill prefill = Prefill.of(seen.results);
        assertThat(prefill.promptTokens()).isEqualTo(36L * seen.results.size());
        assertThat(prefill.recomputedTokens()).isLessThan(prefill.computedTokens());
    }

    @Test
    void findsWrongAnswers() throws InterruptedException {
        testbed.engine("engine").faults(EngineFaults.of(VersionFault.always("v1", VersionFault.Kind.WRONG)));
        Seen seen = run(streams, "engine");
        assertThat(seen.audit.wrong()).isEqualTo(seen.results.size());
    }

    @Test
    void findsCutStreams() throws InterruptedException {
        VersionFault cut = new VersionFault("v1", VersionFault.Kind.CUT, 0, 0, null, 0, 3, 0, false);
        testbed.engine("engine").faults(EngineFaults.of(cut));
        Seen seen = run(streams, "engine");
        assertThat(seen.audit.cut()).isEqualTo(seen.results.size());
    }

    @Test
    void findsAnswersToOtherEntries() throws InterruptedException {
        testbed.app("app").faults(AppFaults.of(AppFault.next(AppFault.Kind.WRONG_ID, 4)));
        assertThat(run(entries, "app").audit.wrong()).isEqualTo(4);
    }

    @Test
    void lostConnectionLeavesTheOutcomeUnknown() throws InterruptedException {
        testbed.app("app").faults(AppFaults.of(AppFault.close(AppFault.Step.AFTER_RUNNING, 3)));
        Seen seen = run(entries, "app");
        assertThat(seen.results.stream().filter(r -> r.outcome() == Outcome.UNKNOWN))
                .hasSize(3);
        assertThat(seen.audit.broken()).isFalse();
    }

    private Seen run(Experiment experiment, String server) throws InterruptedException {
        Payloads payloads = new Payloads(experiment, SEED);
        List<Planned> plan = Schedule.draw(experiment, RATE_PER_S, SEED);
        Address to = Address.parse(testbed.address(server));
        try (CallerClient client = new CallerClient();
                HttpCalls calls = new HttpCalls()) {
            LoadRun.Observed seen = new LoadRun(experiment, payloads, () -> to, client).run(plan, () -> {});
            StandIns standIns = new StandIns(calls, Address.parse(testbed.controlAddress()));
            Audit audit =
                    Audit.of(seen.results(), plan.size(), payloads, standIns.entryRuns(), standIns.engineAudits());
            return new Seen(seen.results(), audit);
        }
    }

    private static Experiment only(RequestMix.Kind kind) {
        Experiment e = Experiments.of("").lasting(1);
        List<RequestMix> requests =
                e.requests().stream().filter(r -> r.kind() == kind).toList();
        return new Experiment(
                e.name(),
                e.preset(),
                e.configuration(),
                e.nodes(),
                e.durationS(),
                0,
                false,
                e.rates(),
                e.seeds(),
                e.routers(),
                e.goals(),
                e.versions(),
                e.teams(),
                requests,
                e.actions());
    }

    private record Seen(List<Result> results, Audit audit) {}
}
