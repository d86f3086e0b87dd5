package org.fuchsiadeck.core;

/**
 * A message between entry nodes. Each concern has its own sealed interface of messages.
 */
public interface PeerMessage {}
