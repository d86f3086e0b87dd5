package org.fuchsiadeck.node.run;

import org.fuchsiadeck.core.Event;

/**
 * Takes events for the reducer. Any thread may post; events of one thread keep their order.
 */
@FunctionalInterface
public interface EventSink {
    /**
     * Posts an event. Never waits and never drops: use it for what comes of work already taken, whose number is bounded
     * by {@link #offer}.
     *
     * @param event the event
     */
    void post(Event event);

    /**
     * Posts an event that stands for new work, unless too many events wait.
     *
     * @param event the event
     * @return false if the event was not taken
     */
    default boolean offer(Event event) {
        post(event);
        return true;
    }
}
