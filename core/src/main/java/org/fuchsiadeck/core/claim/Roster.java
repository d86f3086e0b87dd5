package org.fuchsiadeck.core.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.membership.SplitMix64;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers.Peer;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * The entry nodes that own idempotency keys during one epoch. The three owners of a key are found by rendezvous
 * hashing, in distinct availability zones where there are enough.
 *
 * @param basedOn the revision of the rosters' key before this roster was added to it; names the roster
 * @param members the nodes by id
 */
public record Roster(long basedOn, TreeMap<NodeId, Peer> members) {
    private static final int OWNERS = 3;
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    public Roster {
        requireNonNull(members, "members");
    }

    Vector<NodeId> owners(String key) {
        long hash = hash(key);
        List<Ranked> ranked = new ArrayList<>();
        for (Peer peer : members.values()) {
            ranked.add(new Ranked(
                    peer, SplitMix64.mix(hash ^ SplitMix64.mix(hash(peer.id().value())))));
        }
        Collections.sort(ranked);
        List<Peer> chosen = new ArrayList<>();
        for (Ranked r : ranked) {
            if (chosen.size() < OWNERS
                    && chosen.stream().noneMatch(c -> c.zone().equals(r.peer.zone()))) {
                chosen.add(r.peer);
            }
        }
        for (Ranked r : ranked) {
            if (chosen.size() < OWNERS && !chosen.contains(r.peer)) {
                chosen.add(r.peer);
            }
        }
        return Vector.ofAll(chosen).map(Peer::id);
    }

    private record Ranked(Peer peer, long score) implements Comparable<Ranked> {
        @Override
        public int compareTo(Ranked other) {
            int byScore = Long.compare(score, other.score);
            return byScore != 0 ? byScore : peer.id().compareTo(other.peer.id());
        }
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    static int majority(int count) {
        return count / 2 + 1;
    }

    boolean hasMajority(Set<NodeId> nodes) {
        return members.keySet().count(nodes::contains) >= majority(members.size());
    }

    /** Tells whether for every key the nodes include enough owners to meet each quorum that granted a claim. */
    boolean covered(Set<NodeId> nodes) {
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
