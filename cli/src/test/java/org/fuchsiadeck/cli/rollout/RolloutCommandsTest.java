package org.fuchsiadeck.cli.rollout;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.cli.CliRun;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.cli.FakeStore;
import org.fuchsiadeck.core.rollout.RegistryFormat;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutStage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutCommandsTest {
    private static final String[] START = {
        "rollout",
        "start",
        "--service",
        "assistant",
        "--old",
        "v1",
        "--new",
        "v2",
        "--within-s",
        "60",
        "--too-little",
        "take_back"
    };

    private final FakeStore store = new FakeStore();

    private CliRun run(String[] command, String... more) {
        List<String> args = new ArrayList<>(List.of(command));
        args.addAll(List.of(more));
        return CliRun.run(store, args.toArray(String[]::new));
    }

    private CliRun stop(String... more) {
        return run(new String[] {"rollout", "stop", "--service", "assistant", "--reason", "wrong script"}, more);
    }

    private Rollout stored() {
        return RegistryFormat.parse(store.entries.get("rollouts/book").value().get())
                .rollouts()
                .get("assistant")
                .get();
    }

    @Test
    void startsARolloutInItsEarlyStage() {
        assertThat(run(START).code()).isEqualTo(ExitCode.DONE);
        assertThat(stored().stage()).isEqualTo(RolloutStage.EARLY);
        assertThat(stored().number()).isEqualTo(1);
    }

    @Test
    void refusesASecondRolloutUntilTheFirstHasEnded() {
        run(START);
        CliRun again = run(START);
        assertThat(again.code()).isEqualTo(ExitCode.FAILED);
        assertThat(again.err()).contains("rollout 1 of assistant has not ended");
        assertThat(stop().code()).isEqualTo(ExitCode.DONE);
        assertThat(run(START).code()).isEqualTo(ExitCode.DONE);
        assertThat(stored().number()).isEqualTo(2);
    }

    @Test
    void reportsEveryMoveWithItsReason() {
        run(START);
        stop();
        CliRun report = run(new String[] {"rollout", "report", "--service", "assistant", "--output", "json"});
        assertThat(report.code()).isEqualTo(ExitCode.DONE);
        assertThat(report.out()).contains("\"outcome\"", "taken back", "stopped by an operator: wrong script");
        assertThat(run(new String[] {"rollout", "status"}).out()).contains("taken_back");
    }

    @Test
    void settlesALostAnswerByReadingBack() {
        store.writes.add(FakeStore.Fault.LOST_ANSWER);
        assertThat(run(START, "--patience-ms", "5000").code()).isEqualTo(ExitCode.DONE);
        assertThat(stored().number()).isEqualTo(1);
    }

    @Test
    void saysSoWhenTheOutcomeStaysUnknown() {
        store.writes.add(FakeStore.Fault.LOST_ANSWER);
        store.reads.add(FakeStore.Fault.NONE);
        store.afterwards = FakeStore.Fault.NOT_SENT;
        assertThat(run(START, "--patience-ms", "500").code()).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    }

    @Test
    void refusesWrongUse() {
        assertThat(run(START, "--due", "2027-01-31T06:00:00Z").code()).isEqualTo(ExitCode.WRONG_USE);
        assertThat(run(START, "--early-percent", "90").code()).isEqualTo(ExitCode.WRONG_USE);
        assertThat(run(new String[] {"rollout", "stop", "--service", "assistant"})
                        .code())
                .isEqualTo(ExitCode.WRONG_USE);
        assertThat(store.entries).isEmpty();
    }

    @Test
    void failsWhereThereIsNothingToStop() {
        assertThat(stop().code()).isEqualTo(ExitCode.FAILED);
    }
}
