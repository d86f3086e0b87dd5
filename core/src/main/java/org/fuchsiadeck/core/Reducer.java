package org.fuchsiadeck.core;

/**
 * Computes the next state of one part of a node, and the effects, from an event.
 *
 * @param <S> the type of the state
 */
@FunctionalInterface
public interface Reducer<S> {
    /**
     * Handles one event. Events that do not concern this reducer leave the state unchanged.
     *
     * @param state the state before the event
     * @param view the time, and the parts of the node's state that all reducers may read
     * @param event what happened
     * @return the next state and the effects
     */
    Step<S> reduce(S state, View view, Event event);
}
