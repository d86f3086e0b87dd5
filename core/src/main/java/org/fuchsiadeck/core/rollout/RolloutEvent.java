package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.Event;

import static java.util.Objects.requireNonNull;

/**
 * Events of the rollout reducer.
 */
public sealed interface RolloutEvent extends Event {
    /** Periodic timer for judging rollouts, reporting evidence and calling the platform's service. */
    record Tick() implements RolloutEvent {}

    /**
     * Operators ordered a rollout on the platform.
     *
     * @param order the order
     */
    record Ordered(RolloutOrder order) implements RolloutEvent {
        public Ordered {
            requireNonNull(order, "order");
        }
    }
}
