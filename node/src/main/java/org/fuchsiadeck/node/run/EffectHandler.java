package org.fuchsiadeck.node.run;

import org.fuchsiadeck.core.Effect;

/**
 * Runs effects of one type. Called on the event loop's thread, so it must not wait.
 *
 * @param <E> the type of the effects
 */
@FunctionalInterface
public interface EffectHandler<E extends Effect> {
    /**
     * Starts what the effect asks for. What comes of it is posted as an event.
     *
     * @param effect the effect
     */
    void handle(E effect);
}
