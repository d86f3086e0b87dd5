/**
 * The decision logic of an entry node, written as a pure function. {@link org.fuchsiadeck.core.NodeReducer} takes the
 * state of a node and one event and returns the next state and the effects to run. The package uses no clock, socket,
 * thread or random source: the time is passed in with every event and the seed with the identity, so that replaying
 * recorded events gives the same effects.
 */
package org.fuchsiadeck.core;
