package org.fuchsiadeck.core.duty;

import java.util.List;

import org.fuchsiadeck.core.Effect;

import static java.util.Objects.requireNonNull;

/**
 * What came of a step of one duty.
 *
 * @param next the duty after it
 * @param effects what to do
 */
record Update<T>(T next, List<Effect> effects) {
    Update {
        requireNonNull(next, "next");
        effects = List.copyOf(effects);
    }
}
