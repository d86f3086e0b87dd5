package org.fuchsiadeck.core;

/**
 * A message between entry nodes. Each reducer that sends messages has its own sealed interface of them.
 */
public interface PeerMessage {
    /**
     * Returns whether the message is sent and handled before others that wait.
     *
     * @return whether the message is urgent
     * @see Event#isUrgent
     */
    default boolean isUrgent() {
        return false;
    }
}
