package org.fuchsiadeck.core;

/**
 * Events in the life of the node itself.
 */
public sealed interface LifecycleEvent extends Event {
    /** The node starts. The first event of every run. */
    record Started() implements LifecycleEvent {}

    /**
     * The node is asked to stop.
     *
     * @param noticeMs the time left, in milliseconds
     */
    record StopRequested(long noticeMs) implements LifecycleEvent {}
}
