package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * The state of an entry node as known to some node. Of two states, the one with the higher incarnation wins; at equal
 * incarnations, the one whose status comes later in {@link Status}.
 *
 * @param id the node's id
 * @param address the address at which it receives messages from peers
 * @param zone the availability zone it runs in
 * @param incarnation a number that only the node itself increases, to refute a suspicion
 * @param status the liveness of the node
 */
public record Member(NodeId id, Address address, Zone zone, long incarnation, Status status) {
    public Member {
        requireNonNull(id, "id");
        requireNonNull(address, "address");
        requireNonNull(zone, "zone");
        Checks.inRange(incarnation, 0, Long.MAX_VALUE, "incarnation");
        requireNonNull(status, "status");
    }

    /** The liveness of a node. At equal incarnations a later constant takes precedence over an earlier one. */
    public enum Status {
        /** The node answers probes. */
        ALIVE,
        /** The node has not answered a probe and is considered dead unless it refutes the suspicion in time. */
        SUSPECT,
        /** The node has announced that it is leaving. */
        LEAVING,
        /** The node is considered dead. */
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
