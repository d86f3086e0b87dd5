package org.fuchsiadeck.core;

import java.util.List;
import java.util.function.Function;

import static java.util.Objects.requireNonNull;

/**
 * The result of reducing one event: the next state and the effects to run.
 *
 * @param <S> the type of the state
 * @param state the next state
 * @param effects the effects to run, in order
 */
public record Step<S>(S state, List<Effect> effects) {
    public Step {
        requireNonNull(state, "state");
        effects = List.copyOf(effects);
    }

    /**
     * Creates a step.
     *
     * @param <S> the type of the state
     * @param state the next state
     * @param effects the effects to run, in order
     * @return the step
     */
    public static <S> Step<S> of(S state, Effect... effects) {
        return new Step<>(state, List.of(effects));
    }

    /**
     * Returns a step with a state derived from this one's, and the same effects.
     *
     * @param <T> the type of the new state
     * @param wrap maps the state to the new state
     * @return the step with the new state
     */
    public <T> Step<T> map(Function<S, T> wrap) {
        return new Step<>(wrap.apply(state), effects);
    }
}
