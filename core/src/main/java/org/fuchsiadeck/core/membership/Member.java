package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * What is said of an entry node. Of two statements the one with the higher incarnation holds, and under the same
 * incarnation the one with the later status.
 *
 * @param id the node's id
 * @param address where it takes messages from its peers
 * @param zone the availability zone it runs in
 * @param incarnation raised by the node itself, to refute a suspicion
 * @param status what is believed of the node
 */
public record Member(NodeId id, Address address, Zone zone, long incarnation, Status status) {
    public Member {
        requireNonNull(id, "id");
        requireNonNull(address, "address");
        requireNonNull(zone, "zone");
        Checks.inRange(incarnation, 0, Long.MAX_VALUE, "incarnation");
        requireNonNull(status, "status");
    }

    /** What is believed of a node. The order is the precedence under one incarnation. */
    public enum Status {
        /** It answers. */
        ALIVE,
        /** It has not answered a probe, and counts as dead unless it refutes the suspicion. */
        SUSPECT,
        /** It said that it is leaving. */
        LEAVING,
        /** It is taken as dead. */
        DEAD
    }

    boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return status.compareTo(other.status) > 0;
    }

    boolean isServing() {
        return status == Status.ALIVE || status == Status.SUSPECT;
    }

    Member withStatus(Status next) {
        return new Member(id, address, zone, incarnation, next);
    }

    Peers.Peer toPeer() {
        return new Peers.Peer(id, address, zone);
    }
}
