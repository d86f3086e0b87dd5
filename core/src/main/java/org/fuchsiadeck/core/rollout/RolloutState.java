package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.VersionShares;

/**
 * Rollouts under way and condemned versions.
 */
public record RolloutState() {
    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static RolloutState initial() {
        return new RolloutState();
    }

    /**
     * Returns which versions may take traffic.
     *
     * @return the shares
     */
    public VersionShares shares() {
        return VersionShares.NONE;
    }
}
