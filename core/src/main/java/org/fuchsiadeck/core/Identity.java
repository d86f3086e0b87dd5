package org.fuchsiadeck.core;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * The identity of an entry node, as given by its settings.
 *
 * @param id the node's id, unique in the deployment and across restarts
 * @param zone the availability zone it runs in
 * @param peerAddress the address at which other entry nodes reach it
 * @param seed the seed of all random choices of the node
 */
public record Identity(NodeId id, Zone zone, Address peerAddress, long seed) {
    public Identity {
        requireNonNull(id, "id");
        requireNonNull(zone, "zone");
        requireNonNull(peerAddress, "peerAddress");
    }
}
