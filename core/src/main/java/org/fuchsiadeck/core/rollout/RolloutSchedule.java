package org.fuchsiadeck.core.rollout;

/**
 * Times at which a rollout may change its stage, as fractions of the time from its start to its due time.
 *
 * @param halfAt when the new version may get half of the requests
 * @param fullAt when it may get all of them
 * @param decideAt when a rollout with too little evidence is decided by the operators' choice
 * @param doneAt when the rollout is done and the old version is no longer kept
 */
public record RolloutSchedule(double halfAt, double fullAt, double decideAt, double doneAt) {
    /**
     * The new version gets all requests before the due time. The old version is kept warm until as much time again has
     * passed after it.
     */
    public static final RolloutSchedule KEEP_OLD_VERSION = new RolloutSchedule(0.4, 0.7, 1, 2);

    /**
     * The rollout is done before the due time. The new version keeps its small share for most of the time, since some faults
     * show late; the rest of the time is enough for the requests in progress at the old version.
     */
    public static final RolloutSchedule DONE_BY_DUE = new RolloutSchedule(0.68, 0.72, 0.76, 0.92);

    public RolloutSchedule {
        if (!(halfAt >= 0 && halfAt <= fullAt && fullAt <= decideAt && decideAt <= doneAt)) {
            throw new IllegalArgumentException("the stages must follow each other, were at " + halfAt + ", " + fullAt
                    + ", " + decideAt + " and " + doneAt);
        }
    }
}
