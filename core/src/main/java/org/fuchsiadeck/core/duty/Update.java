package org.fuchsiadeck.core.duty;

import java.util.List;

import org.fuchsiadeck.core.Effect;

import static java.util.Objects.requireNonNull;

/**
 * The result of reducing an event: the next value of a part of the state, and the effects to run.
 *
 * @param next the next value
 * @param effects the effects
 * @param <T> the type of the value
 */
record Update<T>(T next, List<Effect> effects) {
    Update {
        requireNonNull(next, "next");
        effects = List.copyOf(effects);
    }
}
