package org.fuchsiadeck.node.run;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Effect;

/**
 * Dispatches effects to the handlers registered for their types.
 */
public final class EffectDispatcher implements EffectHandler<Effect> {
    private final List<Registration<?>> registrations = new ArrayList<>();

    /**
     * Registers a handler. If an effect matches several types, the handler registered first runs it. All handlers must be
     * registered before the event loop starts.
     *
     * @param <E> the type of the effects
     * @param type the type of the effects
     * @param handler the handler that runs these effects
     * @return this dispatcher
     */
    public <E extends Effect> EffectDispatcher register(Class<E> type, EffectHandler<E> handler) {
        registrations.add(new Registration<>(type, handler));
        return this;
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalStateException if no handler is registered for the type of the effect
     */
    @Override
    public void handle(Effect effect) {
        for (Registration<?> registration : registrations) {
            if (registration.tryHandle(effect)) {
                return;
            }
        }
        throw new IllegalStateException(
                "no handler registered for effect type " + effect.getClass().getName());
    }

    private record Registration<E extends Effect>(Class<E> type, EffectHandler<E> handler) {
        boolean tryHandle(Effect effect) {
            if (!type.isInstance(effect)) {
                return false;
            }
            handler.handle(type.cast(effect));
            return true;
        }
    }
}
