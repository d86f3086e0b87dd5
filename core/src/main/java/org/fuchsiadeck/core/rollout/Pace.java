package org.fuchsiadeck.core.rollout;

import java.util.Optional;
import java.util.function.Function;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;
import org.fuchsiadeck.core.rollout.VerdictRule.Verdict;

/**
 * When a rollout moves to its next stage.
 */
final class Pace {
    private Pace() {}

    static Optional<Rollout> next(RolloutState state, View view, Rollout rollout, Function<Rollout, Judgement> judge) {
        return next(RolloutPace.KEEPS_OLD, state, view, rollout, judge);
    }

    static Optional<Rollout> next(
            RolloutPace pace, RolloutState state, View view, Rollout rollout, Function<Rollout, Judgement> judge) {
        if (rollout.stage() == Stage.TAKEN_BACK) {
            return Optional.empty();
        }
        long now = view.agreedWallMs();
        ServiceVersion fresh = new ServiceVersion(rollout.service(), rollout.newVersion());
        Optional<Condemnation> bad = state.book().condemnation(fresh);
        if (bad.isPresent()) {
            return Optional.of(rollout.moved(Stage.TAKEN_BACK, now, bad.get().reason()));
        }
        return switch (rollout.stage()) {
            case EARLY -> forward(pace, rollout, now, Stage.HALF, judge);
            case HALF -> forward(pace, rollout, now, Stage.FULL, judge);
            case FULL ->
                passed(rollout, now) >= pace.doneAt()
                        ? Optional.of(rollout.moved(
                                Stage.DONE, now, judge.apply(rollout).reason()))
                        : Optional.empty();
            case DONE, TAKEN_BACK -> Optional.empty();
        };
    }

    private static Optional<Rollout> forward(
            RolloutPace pace, Rollout rollout, long now, Stage next, Function<Rollout, Judgement> judge) {
        double passed = passed(rollout, now);
        if (passed < (next == Stage.HALF ? pace.halfAt() : pace.fullAt())) {
            return Optional.empty();
        }
        Judgement judgement = judge.apply(rollout);
        if (judgement.verdict() == Verdict.GOOD) {
            Stage stage = passed >= pace.decideAt() ? Stage.FULL : next;
            return Optional.of(rollout.moved(stage, now, judgement.reason()));
        }
        if (passed < pace.decideAt()) {
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
