package org.fuchsiadeck.core.rollout;

import java.util.Optional;
import java.util.function.Function;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;
import org.fuchsiadeck.core.rollout.VerdictRule.Verdict;

/**
 * Decides when a rollout moves to its next stage.
 */
final class StageTransitions {
    private StageTransitions() {}

    static Optional<Rollout> nextStage(
            RolloutState state, View view, Rollout rollout, Function<Rollout, Judgement> judge) {
        return nextStage(RolloutSchedule.KEEP_OLD_VERSION, state, view, rollout, judge);
    }

    static Optional<Rollout> nextStage(
            RolloutSchedule schedule,
            RolloutState state,
            View view,
            Rollout rollout,
            Function<Rollout, Judgement> judge) {
        if (rollout.stage() == RolloutStage.TAKEN_BACK) {
            return Optional.empty();
        }
        long now = view.agreedWallMs();
        ServiceVersion newVersion = new ServiceVersion(rollout.service(), rollout.newVersion());
        Optional<Condemnation> condemnation = state.book().activeCondemnation(newVersion);
        if (condemnation.isPresent()) {
            return Optional.of(rollout.withStage(
                    RolloutStage.TAKEN_BACK, now, condemnation.get().reason()));
        }
        return switch (rollout.stage()) {
            case EARLY -> advance(schedule, rollout, now, RolloutStage.HALF, judge);
            case HALF -> advance(schedule, rollout, now, RolloutStage.FULL, judge);
            case FULL ->
                elapsedFraction(rollout, now) >= schedule.doneAt()
                        ? Optional.of(rollout.withStage(
                                RolloutStage.DONE, now, judge.apply(rollout).reason()))
                        : Optional.empty();
            case DONE, TAKEN_BACK -> Optional.empty();
        };
    }

    private static Optional<Rollout> advance(
            RolloutSchedule schedule,
            Rollout rollout,
            long now,
            RolloutStage next,
            Function<Rollout, Judgement> judge) {
        double elapsed = elapsedFraction(rollout, now);
        if (elapsed < (next == RolloutStage.HALF ? schedule.halfAt() : schedule.fullAt())) {
            return Optional.empty();
        }
        Judgement judgement = judge.apply(rollout);
        if (judgement.verdict() == Verdict.GOOD) {
            RolloutStage stage = elapsed >= schedule.decideAt() ? RolloutStage.FULL : next;
            return Optional.of(rollout.withStage(stage, now, judgement.reason()));
        }
        if (elapsed < schedule.decideAt()) {
            return Optional.empty();
        }
        boolean finish = rollout.tooLittle() == Rollout.InsufficientEvidencePolicy.FINISH;
        String reason = "too little evidence at the due time; operators chose " + rollout.tooLittle() + "; "
                + judgement.reason();
        return Optional.of(rollout.withStage(finish ? RolloutStage.FULL : RolloutStage.TAKEN_BACK, now, reason));
    }

    private static double elapsedFraction(Rollout rollout, long now) {
        return (double) (now - rollout.startedWallMs()) / (rollout.dueWallMs() - rollout.startedWallMs());
    }
}
