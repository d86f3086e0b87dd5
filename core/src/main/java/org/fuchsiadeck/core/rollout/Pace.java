package org.fuchsiadeck.core.rollout;

import java.util.Optional;
import java.util.function.Function;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;
import org.fuchsiadeck.core.rollout.VerdictRule.Verdict;

/**
 * When a rollout moves to its next stage. The time between start and due time is divided so that the new version has all
 * requests before the due time, and the old version stays warm for as long again.
 */
final class Pace {
    private static final double HALF_AT = 0.4;
    private static final double FULL_AT = 0.7;
    private static final double DONE_AT = 2.0;

    private Pace() {}

    static Optional<Rollout> next(RolloutState state, View view, Rollout rollout, Function<Rollout, Judgement> judge) {
        if (rollout.stage() == Stage.TAKEN_BACK) {
            return Optional.empty();
        }
        long now = view.wallMs();
        ServiceVersion fresh = new ServiceVersion(rollout.service(), rollout.newVersion());
        Optional<Condemnation> bad = state.book().condemnation(fresh);
        if (bad.isPresent()) {
            return Optional.of(rollout.moved(Stage.TAKEN_BACK, now, bad.get().reason()));
        }
        return switch (rollout.stage()) {
            case EARLY -> forward(rollout, now, HALF_AT, Stage.HALF, judge);
            case HALF -> forward(rollout, now, FULL_AT, Stage.FULL, judge);
            case FULL ->
                passed(rollout, now) >= DONE_AT
                        ? Optional.of(rollout.moved(
                                Stage.DONE, now, judge.apply(rollout).reason()))
                        : Optional.empty();
            case DONE, TAKEN_BACK -> Optional.empty();
        };
    }

    private static Optional<Rollout> forward(
            Rollout rollout, long now, double from, Stage next, Function<Rollout, Judgement> judge) {
        double passed = passed(rollout, now);
        if (passed < from) {
            return Optional.empty();
        }
        Judgement judgement = judge.apply(rollout);
        if (judgement.verdict() == Verdict.GOOD) {
            Stage stage = passed >= 1 ? Stage.FULL : next;
            return Optional.of(rollout.moved(stage, now, judgement.reason()));
        }
        if (passed < 1) {
            return Optional.empty();
        }
        boolean finish = rollout.tooLittle() == Rollout.TooLittle.FINISH;
        String reason = "too little evidence at the due time; operators chose " + rollout.tooLittle() + "; "
                + judgement.reason();
        return Optional.of(rollout.moved(finish ? Stage.FULL : Stage.TAKEN_BACK, now, reason));
    }

    private static double passed(Rollout rollout, long now) {
        return (double) (now - rollout.startedWallMs()) / (rollout.dueWallMs() - rollout.startedWallMs());
    }
}
