package org.fuchsiadeck.cli.load;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.ConcurrentHistogram;
import org.fuchsiadeck.testbed.engine.EngineAudit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class SummaryTest {
    private static final long MS = 1_000_000;
    private static final Experiment EXPERIMENT = Experiments.of("");
    private static final Payloads PAYLOADS = new Payloads(EXPERIMENT, 1);

    @Test
    void auditFindsLostDoubledAndUntrueRefusals() {
        List<Result> results =
                List.of(entry(0, Outcome.ANSWERED), entry(1, Outcome.ANSWERED), entry(2, Outcome.NOT_RUN), stream(3));
        EngineAudit engine = new EngineAudit(Map.of("r1-3/1", 1), 0, 9, -1);
        Audit audit = Audit.of(results, 5, PAYLOADS, Map.of("r1-1", 2, "r1-2", 1), List.of(engine));
        assertThat(audit.lost()).isEqualTo(1);
        assertThat(audit.doubled()).isEqualTo(1);
        assertThat(audit.ranThoughRefused()).isEqualTo(2);
        assertThat(audit.unanswered()).isEqualTo(1);
        assertThat(audit.retriedTokens()).isEqualTo(9);
        assertThat(audit.broken()).isTrue();
    }

    @Test
    void goodputComesBackAfterTheFirstSecondBelow() {
        List<Integer> series = List.of(0, 20, 20, 20, 20, 10, 18, 19, 20);
        assertThat(Recovery.of(series, 1, 3)).isEqualTo(new Recovery(3, 20, 10, 5, 2));
        assertThat(Recovery.of(series.subList(0, 7), 1, 3).backAfterS()).isEqualTo(-1);
        assertThat(Recovery.of(series.subList(0, 5), 1, 3).backAfterS()).isZero();
    }

    @Test
    void goodAnswersAreWholeAndWithinTheGoals() {
        Experiment.Goals goals = new Experiment.Goals(1_500, 62, 1_000);
        assertThat(stream(1_500 * MS, 62 * MS).good(goals)).isTrue();
        assertThat(stream(1_501 * MS, 62 * MS).good(goals)).isFalse();
        assertThat(stream(1_500 * MS, 63 * MS).good(goals)).isFalse();
        assertThat(stream(3).good(goals)).isFalse();
        assertThat(entry(0, Outcome.ANSWERED).good(goals)).isTrue();
    }

    @Test
    void resultsAreWrittenReadAndCompared(@TempDir Path dir) {
        List<Result> results = List.of(entry(0, Outcome.ANSWERED), entry(1, Outcome.NOT_RUN));
        LoadRun.Observed seen = new LoadRun.Observed(results, new ConcurrentHistogram(3), 0);
        Audit audit = Audit.of(results, 2, PAYLOADS, Map.of("r1-0", 1), List.of());
        Summarizer.Context context = new Summarizer.Context("round-robin", 50, 1, List.of(0.5, 1.5));
        Summary summary = new Summarizer(EXPERIMENT, seen).summary(context, audit, List.of());
        Results.write(dir.resolve("r.json"), summary);
        Summary read = Results.summary(Results.read(dir.resolve("r.json")));
        assertThat(read).isEqualTo(summary);
        assertThat(read.shareWithinGoals()).isEqualTo(0.5);
        assertThat(Table.of(List.of(read, read))).contains("| test | 50 | round-robin | 2 | 0.1 | 50.0 |");
        assertThat(Table.ofTeams(List.of(read))).contains("| round-robin | large | 1 | 2 | 1 | 50.0 | 0 | 1 |");
    }

    private static Result entry(int number, Outcome outcome) {
        RequestMix kind = EXPERIMENT.requests().get(0);
        Planned planned = new Planned(0, kind, "large", 0, number);
        String reason = outcome == Outcome.ANSWERED ? "" : "queue_full";
        return new Result(planned, outcome, reason, MS, 0, 0, Result.Flaw.NONE, StreamEvent.Usage.NONE);
    }

    private static Result stream(int number) {
        Planned planned = new Planned(0, EXPERIMENT.requests().get(1), "large", 0, number);
        return new Result(planned, Outcome.NOT_RUN, "queue_full", MS, 0, 0, Result.Flaw.NONE, StreamEvent.Usage.NONE);
    }

    private static Result stream(long firstTokenNs, long betweenTokensNs) {
        Planned planned = new Planned(0, EXPERIMENT.requests().get(1), "large", 0, 0);
        return new Result(
                planned,
                Outcome.ANSWERED,
                "",
                9_000 * MS,
                firstTokenNs,
                betweenTokensNs,
                Result.Flaw.NONE,
                StreamEvent.Usage.NONE);
    }
}
