package org.fuchsiadeck.core;

/**
 * Events in the life of the node itself.
 */
public sealed interface Lifecycle extends Event {
    /** The node starts. The first event of every run. */
    record Started() implements Lifecycle {}

    /**
     * The node is asked to stop.
     *
     * @param noticeMs the time left, in milliseconds
     */
    record StopRequested(long noticeMs) implements Lifecycle {}
}
