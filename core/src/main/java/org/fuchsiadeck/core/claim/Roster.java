package org.fuchsiadeck.core.claim;

import java.util.ArrayList;
import java.util.List;

import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers.Peer;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * A set of entry nodes that own idempotency keys. Rendezvous hashing selects up to three owners for each key, in
 * distinct availability zones if there are enough.
 *
 * @param basedOn the revision of the rosters' key in the platform's service before this roster was added;
 *     identifies the roster
 * @param members the nodes by id
 */
public record Roster(long basedOn, TreeMap<NodeId, Peer> members) {
    private static final int OWNERS = 3;

    public Roster {
        requireNonNull(members, "members");
    }

    Vector<NodeId> owners(String key) {
        List<Peer> ranked = Rendezvous.rank(key, members.values().asJava(), p -> p.id().value());
        List<Peer> chosen = new ArrayList<>();
        for (Peer peer : ranked) {
            if (chosen.size() < OWNERS
                    && chosen.stream().noneMatch(c -> c.zone().equals(peer.zone()))) {
                chosen.add(peer);
            }
        }
        for (Peer peer : ranked) {
            if (chosen.size() < OWNERS && !chosen.contains(peer)) {
                chosen.add(peer);
            }
        }
        return Vector.ofAll(chosen).map(Peer::id);
    }

    static int majority(int count) {
        return count / 2 + 1;
    }

    boolean hasMajority(Set<NodeId> nodes) {
        return members.keySet().count(nodes::contains) >= majority(members.size());
    }

    /**
     * Returns whether, for every key, the given nodes intersect every majority of owners that may have granted a claim.
     */
    boolean intersectsEveryQuorum(Set<NodeId> nodes) {
        Vector<Peer> missing =
                members.values().filter(p -> !nodes.contains(p.id())).toVector();
        if (missing.isEmpty()) {
            return true;
        }
        if (missing.size() == 1) {
            return members.size() > 1;
        }
        boolean distinctZones = members.values().map(Peer::zone).distinct().size() >= OWNERS;
        Vector<Zone> zones = missing.map(Peer::zone).distinct();
        return distinctZones && zones.size() == 1;
    }
}
