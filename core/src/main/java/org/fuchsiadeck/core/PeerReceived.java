package org.fuchsiadeck.core;

import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * A message arrived from another entry node.
 *
 * @param from the sending node
 * @param message the message
 */
public record PeerReceived(NodeId from, PeerMessage message) implements Event {
    public PeerReceived {
        requireNonNull(from, "from");
        requireNonNull(message, "message");
    }

    @Override
    public boolean isUrgent() {
        return message.isUrgent();
    }
}
