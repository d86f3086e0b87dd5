package org.fuchsiadeck.core.membership;

import java.util.List;
import java.util.Set;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

import static java.util.Objects.requireNonNull;

/**
 * Events of the membership other than messages from peers.
 */
public sealed interface MembershipEvent extends Event {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /**
     * The settings name addresses of entry nodes to join through.
     *
     * @param seeds the addresses; the node's own is ignored
     */
    record Seeded(List<Address> seeds) implements MembershipEvent {
        public Seeded {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The set of peers or of leaving nodes has changed. Raised by the membership for the other reducers.
     *
     * @param peers the peers now
     * @param leaving the nodes that have announced that they are leaving and are not known to be dead
     */
    record Changed(Peers peers, Set<NodeId> leaving) implements MembershipEvent {
        public Changed {
            requireNonNull(peers, "peers");
            leaving = Set.copyOf(leaving);
        }
    }

    /**
     * The next probe round is due.
     *
     * @param dueMs when the round was scheduled to begin, in milliseconds of the monotonic clock
     */
    record Ticked(long dueMs) implements MembershipEvent {}

    /**
     * The time for the answer to a direct probe has passed; indirect probes follow if no answer came.
     *
     * @param sequence the number of the probe
     */
    record ProbeLate(long sequence) implements MembershipEvent {}
}
