package org.fuchsiadeck.node.run;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Effect;

/**
 * Finds the handler of an effect by its type.
 */
public final class EffectDispatcher implements EffectHandler<Effect> {
    private final List<Entry<?>> entries = new ArrayList<>();

    /**
     * Adds a handler. Add all handlers before the event loop starts.
     *
     * @param <E> the type of the effects
     * @param type the type of the effects
     * @param handler runs them
     * @return this
     */
    public <E extends Effect> EffectDispatcher register(Class<E> type, EffectHandler<E> handler) {
        entries.add(new Entry<>(type, handler));
        return this;
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalStateException if no handler takes effects of this type
     */
    @Override
    public void handle(Effect effect) {
        for (Entry<?> entry : entries) {
            if (entry.run(effect)) {
                return;
            }
        }
        throw new IllegalStateException(
                "no handler for effects of type " + effect.getClass().getName());
    }

    private record Entry<E extends Effect>(Class<E> type, EffectHandler<E> handler) {
        boolean run(Effect effect) {
            if (!type.isInstance(effect)) {
                return false;
            }
            handler.handle(type.cast(effect));
            return true;
        }
    }
}
