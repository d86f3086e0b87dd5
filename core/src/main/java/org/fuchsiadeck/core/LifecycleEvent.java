package org.fuchsiadeck.core;

/**
 * Start and stop of the node's process.
 */
public sealed interface LifecycleEvent extends Event {
    /** The node has started. This is the first event of every run. */
    record Started() implements LifecycleEvent {
        @Override
        public boolean isUrgent() {
            return true;
        }
    }

    /**
     * The node was asked to stop.
     *
     * @param noticeMs the time until the process must have ended, in milliseconds
     */
    record StopRequested(long noticeMs) implements LifecycleEvent {}
}
