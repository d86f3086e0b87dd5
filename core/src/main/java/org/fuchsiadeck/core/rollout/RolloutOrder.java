package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.Checks;

/**
 * Operators' request on the platform that a version of a service takes over its traffic.
 *
 * @param service the service
 * @param target the version
 * @param durationMs the time until the due time, in milliseconds
 * @param number the order's number, which grows from order to order
 */
public record RolloutOrder(String service, String target, long durationMs, long number) {
    public RolloutOrder {
        Checks.notBlank(service, "service");
        Checks.notBlank(target, "target");
        Checks.inRange(durationMs, 1, Long.MAX_VALUE, "durationMs");
        Checks.inRange(number, 1, Long.MAX_VALUE, "number");
    }
}
