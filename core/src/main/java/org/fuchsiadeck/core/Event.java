package org.fuchsiadeck.core;

/**
 * Something that happened to a node and is handled by reducers. Each reducer has its own sealed interface of events.
 */
public interface Event {
    /**
     * Returns whether the event is handled before others that wait. Such events keep up to date what decisions on requests
     * depend on, and are few, whatever the number of requests.
     *
     * @return whether the event is urgent
     */
    default boolean isUrgent() {
        return false;
    }
}
