package org.fuchsiadeck.core.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.fuchsiadeck.core.Identity;

import static java.util.Collections.unmodifiableSortedMap;
import static java.util.Objects.requireNonNull;

/**
 * The entry nodes this node believes to be alive and not leaving, itself excluded.
 *
 * @param alive the nodes by id
 * @param hashes the hashes of their names, which are asked for many times before the nodes change
 */
public record Peers(SortedMap<NodeId, Peer> alive, Map<NodeId, Long> hashes) {
    private static final int FAN_OUT = 8;
    private static final long ZONE_KEY = Rendezvous.hash("zone");

    /** No peers. */
    public static final Peers NONE = new Peers(new TreeMap<>());

    public Peers {
        alive = unmodifiableSortedMap(new TreeMap<>(alive));
        hashes = Map.copyOf(hashes);
    }

    /**
     * Makes the set of some nodes.
     *
     * @param alive the nodes by id
     */
    public Peers(SortedMap<NodeId, Peer> alive) {
        this(alive, hashes(alive));
    }

    private static Map<NodeId, Long> hashes(SortedMap<NodeId, Peer> alive) {
        Map<NodeId, Long> hashes = new HashMap<>();
        alive.keySet().forEach(id -> hashes.put(id, Rendezvous.hash(id.value())));
        return hashes;
    }

    /**
     * Ranks a node among those of its zone, by rendezvous hashing.
     *
     * @param self the node
     * @return how many peers of its zone go before it
     */
    public int rankInZone(Identity self) {
        long own = Rendezvous.score(ZONE_KEY, Rendezvous.hash(self.id().value()));
        int before = 0;
        for (Peer peer : alive.values()) {
            boolean near = peer.zone().equals(self.zone());
            if (near && Long.compareUnsigned(Rendezvous.score(ZONE_KEY, hashes.get(peer.id())), own) > 0) {
                before++;
            }
        }
        return before;
    }

    /**
     * Chooses the peers to tell news that every node passes on once: all of them, or some if there are many.
     *
     * @param key names the news and the sender, so that senders choose differently
     * @return the peers
     */
    public List<NodeId> gossipTargets(String key) {
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
