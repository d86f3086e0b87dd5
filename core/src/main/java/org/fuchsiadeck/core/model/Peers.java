package org.fuchsiadeck.core.model;

import java.util.List;
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
    private static final int FAN_OUT = 8;

    /** No peers. */
    public static final Peers NONE = new Peers(new TreeMap<>());

    public Peers {
        alive = unmodifiableSortedMap(new TreeMap<>(alive));
    }

    /**
     * Chooses the peers to tell news that every node passes on once: all of them, or some if there are many.
     *
     * @param key names the news and the sender, so that senders choose differently
     * @return the peers
     */
    public List<NodeId> fanOut(String key) {
        List<NodeId> all = List.copyOf(alive.keySet());
        return all.size() <= 2 * FAN_OUT
                ? all
                : Rendezvous.rank(key, all, NodeId::value).subList(0, FAN_OUT);
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
