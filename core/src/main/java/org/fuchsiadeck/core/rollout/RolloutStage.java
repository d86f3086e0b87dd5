package org.fuchsiadeck.core.rollout;

/**
 * How far a rollout has come.
 */
public enum RolloutStage {
    /** Few requests go to few backend servers of the new version. */
    EARLY,
    /** Half of the requests go to the new version. */
    HALF,
    /** All requests go to the new version; the old version is kept warm. */
    FULL,
    /** The new version has taken over. */
    DONE,
    /** All requests go to the old version again. */
    TAKEN_BACK;

    /**
     * Tells whether the rollout has ended.
     *
     * @return whether no further stage follows
     */
    public boolean isTerminal() {
        return this == DONE || this == TAKEN_BACK;
    }
}
