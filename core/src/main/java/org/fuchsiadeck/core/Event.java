package org.fuchsiadeck.core;

/**
 * Something that happened to a node and is handled by reducers. Each reducer has its own sealed interface of events.
 */
public interface Event {}
