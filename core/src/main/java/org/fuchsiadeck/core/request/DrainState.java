package org.fuchsiadeck.core.request;

/**
 * A graceful shutdown under way.
 *
 * @param endMs when the node is gone, in milliseconds
 * @param stopped whether the end of the process was ordered
 */
public record DrainState(long endMs, boolean stopped) {}
