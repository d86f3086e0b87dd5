package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.stream.LongStream;

import org.fuchsiadeck.core.request.AttemptObserved;
import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutStage;
import org.fuchsiadeck.core.rollout.VerdictRule;

/**
 * Judges drawn attempts by a rule, as a node does: on each bad answer of the new version, and twice a second.
 *
 * @param rule the rule
 */
record VerdictBench(VerdictRule rule) {
    private static final int DURATION_S = 120;
    private static final int HALF_AT_S = 60;
    private static final int RATE_PER_S = 90;
    private static final double EARLY_SHARE = 0.05;
    private static final double TICK_S = 0.5;
    private static final double PERIOD_S = 5;
    private static final Rollout ROLLOUT = new Rollout(
            "assistant",
            1,
            VerdictStream.OLD,
            VerdictStream.NEW,
            (int) (EARLY_SHARE * 100),
            0,
            DURATION_S * 1_000L,
            Rollout.InsufficientEvidencePolicy.TAKE_BACK,
            RolloutStage.EARLY,
            List.of());

    /**
     * What came of one run.
     *
     * @param condemned whether the version was condemned
     * @param answers answers of the new version until then; all if it was not
     * @param reason why it was condemned
     */
    record Ended(boolean condemned, int answers, String reason) {}

    /** Runs one case with the seeds from 1 on. */
    List<Ended> runs(VerdictCase kind, int count) {
        return LongStream.rangeClosed(1, count)
                .mapToObj(seed -> run(new VerdictStream(kind, seed)))
                .toList();
    }

    private Ended run(VerdictStream stream) {
        Seen seen = new Seen(Evidence.EMPTY, Evidence.EMPTY, Evidence.EMPTY);
        int answers = 0;
        double nextTick = TICK_S;
        double nextPeriod = PERIOD_S;
        for (int i = 0; i < DURATION_S * RATE_PER_S; i++) {
            double second = (double) i / RATE_PER_S;
            boolean fresh = stream.drawNew(second < HALF_AT_S ? EARLY_SHARE : 0.5);
            AttemptObserved attempt = stream.draw(second, fresh);
            answers += fresh ? 1 : 0;
            if (second >= nextPeriod) {
                seen = seen.nextPeriod();
                nextPeriod += PERIOD_S;
            }
            seen = seen.add(attempt, second < HALF_AT_S ? RolloutStage.EARLY : RolloutStage.HALF);
            boolean tick = second >= nextTick;
            nextTick += tick ? TICK_S : 0;
            if (tick || fresh && attempt.verdict() != AttemptObserved.Verdict.GOOD) {
                VerdictRule.Judgement found = rule.judge(ROLLOUT, seen.total, seen.current.plus(seen.previous));
                if (found.verdict() == VerdictRule.Verdict.BAD) {
                    return new Ended(true, answers, found.reason());
                }
            }
        }
        return new Ended(false, answers, "");
    }

    private record Seen(Evidence total, Evidence current, Evidence previous) {
        Seen add(AttemptObserved attempt, RolloutStage stage) {
            return new Seen(total.withAttempt(attempt, stage), current.withAttempt(attempt, stage), previous);
        }

        Seen nextPeriod() {
            return new Seen(total, Evidence.EMPTY, current);
        }
    }
}
