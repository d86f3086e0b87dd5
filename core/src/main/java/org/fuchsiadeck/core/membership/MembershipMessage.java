package org.fuchsiadeck.core.membership;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * Messages by which entry nodes probe each other and exchange membership updates. Every message carries the full state
 * of its sender, so that a receiver that does not know the sender yet can answer.
 */
public sealed interface MembershipMessage extends PeerMessage {
    @Override
    default boolean isUrgent() {
        return true;
    }

    /**
     * Returns the sender's state as known to itself.
     *
     * @return the sender
     */
    Member sender();

    /**
     * Returns the states of other nodes known to the sender.
     *
     * @return the updates
     */
    List<Update> updates();

    /**
     * The state of a node, as gossiped between nodes.
     *
     * @param member the state
     * @param ageMs how long the sender has known it, in milliseconds
     */
    record Update(Member member, long ageMs) {
        public Update {
            requireNonNull(member, "member");
            Checks.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
        }
    }

    /**
     * A probe, to be answered by an {@link Ack}.
     *
     * @param sequence the sender's number of the probe
     * @param sender the sending node
     * @param updates piggybacked updates
     */
    record Ping(long sequence, Member sender, List<Update> updates) implements MembershipMessage {
        public Ping {
            requireNonNull(sender, "sender");
            updates = List.copyOf(updates);
        }
    }

    /**
     * The answer to a {@link Ping} or, after a successful indirect probe, to a {@link PingRequest}.
     *
     * @param sequence the number of the probe
     * @param subject the probed node, which answered
     * @param sender the sending node
     * @param updates piggybacked updates
     */
    record Ack(long sequence, Member subject, Member sender, List<Update> updates) implements MembershipMessage {
        public Ack {
            requireNonNull(subject, "subject");
            requireNonNull(sender, "sender");
            updates = List.copyOf(updates);
        }
    }

    /**
     * Requests an indirect probe of a node that did not answer the sender.
     *
     * @param sequence the sender's number of the probe
     * @param target the node to probe
     * @param sender the sending node
     * @param updates piggybacked updates
     */
    record PingRequest(long sequence, Member target, Member sender, List<Update> updates) implements MembershipMessage {
        public PingRequest {
            requireNonNull(target, "target");
            requireNonNull(sender, "sender");
            updates = List.copyOf(updates);
        }
    }

    /**
     * The sender's whole membership table.
     *
     * @param replyWanted whether the receiver is to answer with its own table
     * @param sender the sending node
     * @param updates all entries of the sender's table
     */
    record Sync(boolean replyWanted, Member sender, List<Update> updates) implements MembershipMessage {
        public Sync {
            requireNonNull(sender, "sender");
            updates = List.copyOf(updates);
        }
    }
}
