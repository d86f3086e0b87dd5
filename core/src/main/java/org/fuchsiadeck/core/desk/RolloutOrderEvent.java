package org.fuchsiadeck.core.desk;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.rollout.Rollout;

import static java.util.Objects.requireNonNull;

/**
 * An event for the reducer of rollout orders, besides events of the platform's key-value service.
 */
public sealed interface RolloutOrderEvent extends Event {
    /** A periodic timer fired, and due calls are made. */
    record Tick() implements RolloutOrderEvent {
        @Override
        public boolean isUrgent() {
            return true;
        }
    }

    /**
     * The current state of a rollout whose record this node writes.
     *
     * @param rollout the rollout
     */
    record Stands(Rollout rollout) implements RolloutOrderEvent {
        public Stands {
            requireNonNull(rollout, "rollout");
        }
    }
}
