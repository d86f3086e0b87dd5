/**
 * Messages between entry nodes over TCP. {@link org.fuchsiadeck.node.peer.PeerLink} sends and receives them; each
 * concern brings the {@link org.fuchsiadeck.node.peer.MessageCodec}s of its messages.
 */
package org.fuchsiadeck.node.peer;
