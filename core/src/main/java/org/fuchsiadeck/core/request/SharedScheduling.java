package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.PolicyField;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.Subject;

/**
 * Decides whether the requests of a route are scheduled by what all nodes know of the servers together: shared capacity,
 * the order of waiting requests, and the choice of the availability zone.
 */
final class SharedScheduling {
    private SharedScheduling() {}

    /**
     * Returns whether shared scheduling is in force for a route: if the configuration asks for it, or if servers of the
     * route's service report that their speed varies.
     */
    static boolean isOn(RequestReduction reduction, Route route) {
        Policy policy = reduction.policy(Subject.of(route));
        return policy.sharedScheduling() == 1 || reduction.state().fleet().reportsSlowdown(route.service());
    }

    /**
     * Returns whether shared scheduling is in force for any service. Quotas of teams apply to all services together.
     */
    static boolean isOnForAnyService(RequestReduction reduction) {
        Configuration config = reduction.view().config();
        return config.defaults().sharedScheduling() == 1
                || !reduction.state().fleet().slowdownServices().isEmpty()
                || config.exceptions().stream().anyMatch(SharedScheduling::isSwitchedOn);
    }

    private static boolean isSwitchedOn(ExceptionRule rule) {
        return rule.set().getOrDefault(PolicyField.SHARED_SCHEDULING.key(), 0L) == 1;
    }
}
