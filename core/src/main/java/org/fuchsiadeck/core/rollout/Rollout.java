package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Gradual replacement of one version of a service by another.
 *
 * @param service the service
 * @param number the rollout's number; the numbers of a service only grow
 * @param oldVersion the version that serves now
 * @param newVersion the version to take over
 * @param earlyPercent the greatest share of the new version in the early stage, in percent
 * @param startedWallMs when the rollout was started, in milliseconds since 1970
 * @param dueWallMs when the new version has to have taken over, in milliseconds since 1970
 * @param tooLittle what to do when there is too little evidence at the due time
 * @param stage the current stage
 * @param moves changes of stage, oldest first; only the most recent are kept
 */
public record Rollout(
        String service,
        long number,
        String oldVersion,
        String newVersion,
        int earlyPercent,
        long startedWallMs,
        long dueWallMs,
        InsufficientEvidencePolicy tooLittle,
        RolloutStage stage,
        List<Move> moves) {
    private static final int MAX_MOVES = 32;

    public Rollout {
        Checks.notBlank(service, "service");
        Checks.inRange(number, 1, Long.MAX_VALUE, "number");
        Checks.notBlank(oldVersion, "old version");
        Checks.notBlank(newVersion, "new version");
        if (oldVersion.equals(newVersion)) {
            throw new IllegalArgumentException("old and new version must differ, both were " + newVersion);
        }
        Checks.inRange(earlyPercent, 1, 50, "early percent");
        Checks.inRange(dueWallMs, startedWallMs + 1, Long.MAX_VALUE, "due time");
        requireNonNull(tooLittle, "tooLittle");
        requireNonNull(stage, "stage");
        moves = List.copyOf(moves);
    }

    /** Operators' choice for a rollout that has too little evidence at its due time. */
    public enum InsufficientEvidencePolicy {
        /** The new version takes over. */
        FINISH,
        /** The old version stays. */
        TAKE_BACK
    }

    /**
     * A change of stage.
     *
     * @param atWallMs when, in milliseconds since 1970
     * @param stage the new stage
     * @param reason why, with the figures
     */
    public record Move(long atWallMs, RolloutStage stage, String reason) {
        public Move {
            requireNonNull(stage, "stage");
            requireNonNull(reason, "reason");
        }
    }

    /**
     * Returns the rollout at another stage.
     *
     * @param next the stage
     * @param atWallMs when, in milliseconds since 1970
     * @param reason why, with the figures
     * @return the rollout, with the move added
     */
    public Rollout withStage(RolloutStage next, long atWallMs, String reason) {
        List<Move> all = new ArrayList<>(moves);
        all.add(new Move(atWallMs, next, reason));
        List<Move> kept = all.subList(Math.max(0, all.size() - MAX_MOVES), all.size());
        return new Rollout(
                service, number, oldVersion, newVersion, earlyPercent, startedWallMs, dueWallMs, tooLittle, next, kept);
    }

    /**
     * Returns the share of new requests that go to the new version at this stage.
     *
     * @return the share, 0 to 1
     */
    public double newVersionShare() {
        return switch (stage) {
            case EARLY -> earlyPercent / 100.0;
            case HALF -> 0.5;
            case FULL, DONE -> 1;
            case TAKEN_BACK -> 0;
        };
    }
}
