package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Rendezvous;

/**
 * Chooses the few nodes of a zone that watch the platform's service, by rendezvous hashing over the nodes alive.
 */
final class Watchers {
    /** How many nodes of each zone watch. */
    static final int PER_ZONE = 2;

    private Watchers() {}

    /** Tells whether a node is among the watchers of its zone. */
    static boolean includes(Identity self, Peers peers) {
        long own = score(self.id());
        long before = peers.alive().values().stream()
                .filter(p -> p.zone().equals(self.zone()))
                .filter(p -> comesBefore(p.id(), self.id(), own))
                .limit(PER_ZONE)
                .count();
        return before < PER_ZONE;
    }

    private static boolean comesBefore(NodeId other, NodeId self, long own) {
        int order = Long.compareUnsigned(score(other), own);
        return order == 0 ? other.compareTo(self) < 0 : order > 0;
    }

    private static long score(NodeId id) {
        return Rendezvous.score("config/watchers", id.value());
    }
}
