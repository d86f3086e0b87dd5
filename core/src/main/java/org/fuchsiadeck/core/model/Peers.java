package org.fuchsiadeck.core.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.fuchsiadeck.core.Identity;

import static java.util.Collections.unmodifiableSortedMap;
import static java.util.Objects.requireNonNull;

/**
 * The other entry nodes that this node considers alive and not leaving.
 *
 * @param alive the nodes by id
 * @param hashes the hashes of their ids, cached because they are used many times before the nodes change
 */
public record Peers(SortedMap<NodeId, Peer> alive, Map<NodeId, Long> hashes) {
    /** Number of peers to which each node forwards a gossip message, if there are many. */
    private static final int FAN_OUT = 8;

    private static final long ZONE_KEY = Rendezvous.hash("zone");

    /** The empty set of peers. */
    public static final Peers NONE = new Peers(new TreeMap<>());

    public Peers {
        alive = unmodifiableSortedMap(new TreeMap<>(alive));
        hashes = Map.copyOf(hashes);
    }

    /**
     * Creates a set of peers.
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
     * Ranks a node among the nodes of its availability zone by rendezvous hashing.
     *
     * @param self the node
     * @return the number of peers in its zone that rank before it
     */
    public int rankInZone(Identity self) {
        long ownScore = Rendezvous.score(ZONE_KEY, Rendezvous.hash(self.id().value()));
        int rank = 0;
        for (Peer peer : alive.values()) {
            boolean sameZone = peer.zone().equals(self.zone());
            if (sameZone && Long.compareUnsigned(Rendezvous.score(ZONE_KEY, hashes.get(peer.id())), ownScore) > 0) {
                rank++;
            }
        }
        return rank;
    }

    /**
     * Returns the node that ranks first for a key among these nodes and one more. Nodes that know the same nodes find the same
     * one.
     *
     * @param key the key
     * @param self the other node
     * @return the first node
     */
    public NodeId firstFor(String key, NodeId self) {
        long keyHash = Rendezvous.hash(key);
        NodeId first = self;
        long highest = Rendezvous.score(keyHash, Rendezvous.hash(self.value()));
        for (NodeId id : alive.keySet()) {
            long score = Rendezvous.score(keyHash, hashes.get(id));
            if (Long.compareUnsigned(score, highest) > 0) {
                first = id;
                highest = score;
            }
        }
        return first;
    }

    /**
     * Returns the parent of a node in a tree of the nodes of its availability zone, in which the nodes follow each other by
     * their rank.
     *
     * @param self the node
     * @param fanOut the greatest number of children of a node
     * @return the parent; empty if no peer ranks before the node
     */
    public Optional<NodeId> parentInZone(Identity self, int fanOut) {
        List<NodeId> zone = new ArrayList<>();
        for (Peer peer : alive.values()) {
            if (peer.zone().equals(self.zone())) {
                zone.add(peer.id());
            }
        }
        zone.add(self.id());
        zone.sort(Comparator.comparing(this::zoneScore, Long::compareUnsigned).reversed());
        int rank = zone.indexOf(self.id());
        return rank == 0 ? Optional.empty() : Optional.of(zone.get((rank - 1) / fanOut));
    }

    private long zoneScore(NodeId id) {
        Long hash = hashes.get(id);
        return Rendezvous.score(ZONE_KEY, hash == null ? Rendezvous.hash(id.value()) : hash);
    }

    /**
     * Selects the peers to which a gossip message is sent that every node forwards once: all peers, or 8 of them if
     * there are more than 16.
     *
     * @param key identifies the message and the sender, so that different senders select different peers
     * @return the selected peers
     */
    public List<NodeId> gossipTargets(String key) {
        List<NodeId> all = List.copyOf(alive.keySet());
        return all.size() <= 2 * FAN_OUT
                ? all
                : Rendezvous.rank(key, all, NodeId::value).subList(0, FAN_OUT);
    }

    /**
     * Another entry node.
     *
     * @param id the node's id
     * @param address the address at which it accepts messages from its peers
     * @param zone the availability zone in which it runs
     */
    public record Peer(NodeId id, Address address, Zone zone) {
        public Peer {
            requireNonNull(id, "id");
            requireNonNull(address, "address");
            requireNonNull(zone, "zone");
        }
    }
}
