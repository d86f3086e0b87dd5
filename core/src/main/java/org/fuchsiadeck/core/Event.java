package org.fuchsiadeck.core;

/**
 * Something that happened to a node and is handled by reducers. Each reducer has its own sealed interface of events.
 */
public interface Event {
    /**
     * Returns whether the event is handled before others that wait. Such events keep up to date what decisions on requests
     * depend on, or end work that nobody waits for. They are few: at most one for each request.
     *
     * @return whether the event is urgent
     */
    default boolean isUrgent() {
        return false;
    }
}
