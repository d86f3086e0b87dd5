package org.fuchsiadeck.node.run;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.Step;

/**
 * Computes the next state and the effects of an event. Implemented by {@link org.fuchsiadeck.core.NodeReducer#reduce}.
 */
@FunctionalInterface
public interface EventReducer {
    /**
     * Reduces one event.
     *
     * @param state the state before the event
     * @param nowMs the monotonic time, in milliseconds
     * @param wallMs the wall-clock time, in milliseconds since the epoch
     * @param event the event to reduce
     * @return the next state and the effects, in order
     */
    Step<NodeState> reduce(NodeState state, long nowMs, long wallMs, Event event);
}
