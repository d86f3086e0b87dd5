package org.fuchsiadeck.core.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Rendezvous;

import static java.util.Objects.requireNonNull;

/**
 * The queries by which a node learns from its peers which servers have departed. In each availability zone the queries
 * form a tree with the node that polls the service often at its root; a node whose parent did not answer asks any other
 * node.
 *
 * @param number the number of the last query
 * @param sentMs when it was sent, in milliseconds
 * @param answered whether it was answered
 */
record DepartureQueries(long number, long sentMs, boolean answered) {
    /** The state before the first query. */
    static final DepartureQueries NONE = new DepartureQueries(0, 0, true);

    /** Time between two queries, in milliseconds. */
    static final long INTERVAL_MS = 500;

    /** Number of nodes that ask the same node of their availability zone. */
    private static final int FAN_OUT = 16;

    /**
     * A query to send.
     *
     * @param next the state after it was sent
     * @param peer the node to ask
     */
    record Update(DepartureQueries next, NodeId peer) {
        Update {
            requireNonNull(next, "next");
            requireNonNull(peer, "peer");
        }
    }

    /** Returns the next query; empty if it is not due or there is no other node. */
    Optional<Update> next(Identity self, Peers peers, long nowMs) {
        if (nowMs - sentMs < INTERVAL_MS || peers.alive().isEmpty()) {
            return Optional.empty();
        }
        long nextNumber = number + 1;
        Optional<NodeId> parent = answered ? peers.parentInZone(self, FAN_OUT) : Optional.empty();
        NodeId peer = parent.orElseGet(() -> anyPeer(self, peers, nextNumber));
        return Optional.of(new Update(new DepartureQueries(nextNumber, nowMs, false), peer));
    }

    /** Returns the state after the answer to a query. */
    DepartureQueries withAnswer(long answeredNumber) {
        return answeredNumber == number ? new DepartureQueries(number, sentMs, true) : this;
    }

    private static NodeId anyPeer(Identity self, Peers peers, long draw) {
        List<NodeId> all = new ArrayList<>(peers.alive().keySet());
        long hash = Rendezvous.score(Rendezvous.hash(self.id().value()), draw);
        return all.get((int) Math.floorMod(hash, (long) all.size()));
    }
}
