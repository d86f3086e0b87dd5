package org.fuchsiadeck.core.request;

/**
 * Progress of an entry node's graceful shutdown.
 *
 * @param endMs the time by which the node must have stopped, in milliseconds
 * @param stopped whether the end of the process was requested
 */
public record DrainState(long endMs, boolean stopped) {}
