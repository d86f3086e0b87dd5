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
final class StageTransitions {
    private StageTransitions() {}

    static Optional<Rollout> nextStage(
            RolloutState state, View view, Rollout rollout, Function<Rollout, Judgement> judge) {
        return nextStage(RolloutSchedule.KEEP_OLD_VERSION, state, view, rollout, judge);
    }

    static Optional<Rollout> nextStage(
            RolloutSchedule pace, RolloutState state, View view, Rollout rollout, Function<Rollout, Judgement> judge) {
        if (rollout.stage() == RolloutStage.TAKEN_BACK) {
            return Optional.empty();
        }
        long now = view.clockMs();
        ServiceVersion fresh = new ServiceVersion(rollout.service(), rollout.newVersion());
        Optional<Condemnation> bad = state.book().activeCondemnation(fresh);
        if (bad.isPresent()) {
            return Optional.of(
                    rollout.withStage(RolloutStage.TAKEN_BACK, now, bad.get().reason()));
        }
        return switch (rollout.stage()) {
            case EARLY -> forward(pace, rollout, now, RolloutStage.HALF, judge);
            case HALF -> forward(pace, rollout, now, RolloutStage.FULL, judge);
            case FULL ->
                passed(rollout, now) >= pace.doneAt()
                        ? Optional.of(rollout.withStage(
                                RolloutStage.DONE, now, judge.apply(rollout).reason()))
                        : Optional.empty();
            case DONE, TAKEN_BACK -> Optional.empty();
        };
    }

    private static Optional<Rollout> forward(
            RolloutSchedule pace, Rollout rollout, long now, RolloutStage next, Function<Rollout, Judgement> judge) {
        double passed = passed(rollout, now);
        if (passed < (next == RolloutStage.HALF ? pace.halfAt() : pace.fullAt())) {
            return Optional.empty();
        }
        Judgement judgement = judge.apply(rollout);
        if (judgement.verdict() == Verdict.GOOD) {
            RolloutStage stage = passed >= pace.decideAt() ? RolloutStage.FULL : next;
            return Optional.of(rollout.withStage(stage, now, judgement.reason()));
        }
        if (passed < pace.decideAt()) {
            return Optional.empty();
        }
        boolean finish = rollout.tooLittle() == Rollout.InsufficientEvidencePolicy.FINISH;
        String reason = "too little evidence at the due time; operators chose " + rollout.tooLittle() + "; "
                + judgement.reason();
        return Optional.of(rollout.withStage(finish ? RolloutStage.FULL : RolloutStage.TAKEN_BACK, now, reason));
    }

    private static double passed(Rollout rollout, long now) {
        return (double) (now - rollout.startedWallMs()) / (rollout.dueWallMs() - rollout.startedWallMs());
    }
}
