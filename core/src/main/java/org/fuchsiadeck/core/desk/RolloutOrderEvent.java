package org.fuchsiadeck.core.desk;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.rollout.Rollout;

import static java.util.Objects.requireNonNull;

/**
 * What happens at the operators' desk besides answers of the platform's service.
 */
public sealed interface RolloutOrderEvent extends Event {
    /** It is time to look whether a call is due. */
    record Tick() implements RolloutOrderEvent {}

    /**
     * A rollout that this node keeps the record of stands as it says.
     *
     * @param rollout the rollout
     */
    record Stands(Rollout rollout) implements RolloutOrderEvent {
        public Stands {
            requireNonNull(rollout, "rollout");
        }
    }
}
