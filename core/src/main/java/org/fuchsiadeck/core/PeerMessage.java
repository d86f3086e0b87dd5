package org.fuchsiadeck.core;

/**
 * A message between entry nodes. Each reducer that sends messages has its own sealed interface of them.
 */
public interface PeerMessage {}
