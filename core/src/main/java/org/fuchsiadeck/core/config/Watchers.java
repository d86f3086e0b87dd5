package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.model.Peers;

/**
 * Selects the few nodes of each zone that renew their watches of the platform's key-value service often, by rendezvous
 * hashing of live nodes.
 */
final class Watchers {
    /** Watching nodes per zone. */
    static final int PER_ZONE = 2;

    private Watchers() {}

    /** Returns whether a node is among the watchers of its zone. */
    static boolean includes(Identity self, Peers peers) {
        return peers.rankInZone(self) < PER_ZONE;
    }
}
