/**
 * The decisions of an entry node as a pure function. {@link org.fuchsiadeck.core.NodeReducer} takes the state
 * of a node and one event and gives the next state and the effects to run. Nothing here reads a clock, a
 * socket, a thread or a random source: time comes in with every event and the seed with the identity, so that a
 * recorded list of events replays to the same effects.
 */
package org.fuchsiadeck.core;
