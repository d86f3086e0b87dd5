package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.Event;

/**
 * Events of the rollouts themselves.
 */
public sealed interface RolloutEvent extends Event {
    /** It is time to judge, to report evidence and to look after the calls to the platform's service. */
    record Tick() implements RolloutEvent {}
}
