package org.fuchsiadeck.core.rollout;

/**
 * Stage of a rollout.
 */
public enum RolloutStage {
    /** A few backend servers of the new version get a small share of the requests. */
    EARLY,
    /** Half of the requests go to the new version. */
    HALF,
    /** All requests go to the new version; the old version is kept warm. */
    FULL,
    /** The new version has taken over. */
    DONE,
    /** The rollout was rolled back: all requests go to the old version again. */
    TAKEN_BACK;

    /**
     * Returns whether the rollout has ended.
     *
     * @return whether no further stage follows
     */
    public boolean isTerminal() {
        return this == DONE || this == TAKEN_BACK;
    }
}
