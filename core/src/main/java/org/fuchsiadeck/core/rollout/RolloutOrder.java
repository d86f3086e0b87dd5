package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.Checks;

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
}
