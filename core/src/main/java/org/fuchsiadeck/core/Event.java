package org.fuchsiadeck.core;

/**
 * Something that happened to a node. Each concern has its own sealed interface of events.
 */
public interface Event {}
