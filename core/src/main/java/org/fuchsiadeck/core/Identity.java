package org.fuchsiadeck.core;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * What a node knows of itself from its settings.
 *
 * @param id the node's id, unique in the deployment and over restarts
 * @param zone the availability zone it runs in
 * @param peerAddress where other entry nodes reach it
 * @param seed the seed of every random choice the node makes
 */
public record Identity(NodeId id, Zone zone, Address peerAddress, long seed) {
    public Identity {
        requireNonNull(id, "id");
        requireNonNull(zone, "zone");
        requireNonNull(peerAddress, "peerAddress");
    }
}
