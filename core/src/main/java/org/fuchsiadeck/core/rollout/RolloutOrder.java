package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.platform.Position;

/**
 * Operators' order, placed on the platform, to roll out a version of a service.
 *
 * @param service the service
 * @param target the version to roll out
 * @param durationMs the time from the start of the rollout to its due time, in milliseconds
 * @param number the order's number, which becomes the rollout's; later orders have greater numbers
 */
public record RolloutOrder(String service, String target, long durationMs, long number) {
    public RolloutOrder {
        Checks.notBlank(service, "service");
        Checks.notBlank(target, "target");
        Checks.inRange(durationMs, 1, Long.MAX_VALUE, "durationMs");
        Checks.inRange(number, 1, Long.MAX_VALUE, "number");
    }

    /**
     * Returns whether a rollout was created for this order. If the service went back to a copy that holds the order, the order
     * has a later number than the rollout, with the same revision.
     *
     * @param rollout the rollout
     * @return whether the rollout is of this order
     */
    public boolean isOrderOf(Rollout rollout) {
        return rollout.newVersion().equals(target) && Position.revision(rollout.number()) == Position.revision(number);
    }
}
