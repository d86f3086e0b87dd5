package org.fuchsiadeck.node.run;

import org.fuchsiadeck.core.Event;

/**
 * Accepts events for the reducer from any thread. Events of the same urgency posted by the same thread keep their order.
 */
@FunctionalInterface
public interface EventSink {
    /**
     * Posts an event without blocking and without a limit on the queue. Use it for results of work that was already
     * accepted; {@link #offer} bounds the amount of that work.
     *
     * @param event the event to post
     */
    void post(Event event);

    /**
     * Posts an event that represents new work, unless too many events are queued.
     *
     * @param event the event to post
     * @return false if the event was rejected
     */
    default boolean offer(Event event) {
        post(event);
        return true;
    }
}
