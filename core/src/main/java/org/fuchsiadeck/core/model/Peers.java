package org.fuchsiadeck.core.model;

import java.util.SortedMap;
import java.util.TreeMap;

import static java.util.Collections.unmodifiableSortedMap;
import static java.util.Objects.requireNonNull;

/**
 * The entry nodes this node believes to be alive and not leaving, itself excluded.
 *
 * @param alive the nodes by id
 */
public record Peers(SortedMap<NodeId, Peer> alive) {
    /** No peers. */
    public static final Peers NONE = new Peers(new TreeMap<>());

    public Peers {
        alive = unmodifiableSortedMap(new TreeMap<>(alive));
    }

    /**
     * An entry node.
     *
     * @param id the node's id
     * @param address where it takes messages from its peers
     * @param zone the availability zone it runs in
     */
    public record Peer(NodeId id, Address address, Zone zone) {
        public Peer {
            requireNonNull(id, "id");
            requireNonNull(address, "address");
            requireNonNull(zone, "zone");
        }
    }
}
