package org.fuchsiadeck.node.run;

import org.fuchsiadeck.core.Effect;

/**
 * Runs effects of one type. Handlers are called on the event loop's thread and must not block.
 *
 * @param <E> the type of the effects
 */
@FunctionalInterface
public interface EffectHandler<E extends Effect> {
    /**
     * Starts the action that the effect describes. Its result is posted as an event.
     *
     * @param effect the effect to run
     */
    void handle(E effect);
}
