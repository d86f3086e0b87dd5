package org.fuchsiadeck.core;

/**
 * Takes one event into a state.
 *
 * @param <S> the type of the state
 */
@FunctionalInterface
public interface Reducer<S> {
    /**
     * Gives the next state and the effects of an event. An event of another concern leaves the state as it is.
     *
     * @param state the state before the event
     * @param view what the other concerns know, and the time
     * @param event what happened
     * @return the next state and the effects
     */
    Step<S> reduce(S state, View view, Event event);
}
