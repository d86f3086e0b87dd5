package org.fuchsiadeck.core.membership;

import java.util.List;
import java.util.Set;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;

import static java.util.Objects.requireNonNull;

/**
 * What happens to the membership besides messages from peers.
 */
public sealed interface MembershipEvent extends Event {
    /**
     * Addresses of entry nodes are known from the settings.
     *
     * @param seeds the addresses; the node's own is ignored
     */
    record Seeded(List<Address> seeds) implements MembershipEvent {
        public Seeded {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * The peers, or the nodes that are leaving, are others than before. Raised by the membership for other concerns.
     *
     * @param peers the peers now
     * @param leaving the nodes that said they are leaving and are not known to be gone yet
     */
    record Changed(Peers peers, Set<NodeId> leaving) implements MembershipEvent {
        public Changed {
            requireNonNull(peers, "peers");
            leaving = Set.copyOf(leaving);
        }
    }

    /**
     * The next round of probing begins.
     *
     * @param dueMs when the round was to begin, in milliseconds of the monotonic clock
     */
    record Ticked(long dueMs) implements MembershipEvent {}

    /**
     * A direct probe had its time to be answered.
     *
     * @param sequence the number of the probe
     */
    record ProbeLate(long sequence) implements MembershipEvent {}
}
