package org.fuchsiadeck.core.membership;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What entry nodes say to each other about who is alive. Every message names its sender in full, so that a node that
 * does not know the sender yet can answer.
 */
public sealed interface MembershipMessage extends PeerMessage {
    /**
     * Returns the sending node, as it sees itself.
     *
     * @return the sender
     */
    Member sender();

    /**
     * Returns what the sender has to say of other nodes.
     *
     * @return the updates
     */
    List<Update> updates();

    /**
     * A statement about a node.
     *
     * @param member the statement
     * @param ageMs how long the sender has held it, in milliseconds
     */
    record Update(Member member, long ageMs) {
        public Update {
            requireNonNull(member, "member");
            Checks.inRange(ageMs, 0, Long.MAX_VALUE, "ageMs");
        }
    }

    /**
     * Asks for an {@link Ack}.
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
     * Answers a {@link Ping} or, after an indirect probe, a {@link PingRequest}.
     *
     * @param sequence the number of the probe
     * @param subject the node that answered the probe
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
     * Asks the receiver to probe a node that did not answer the sender.
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
     * Carries all that the sender knows.
     *
     * @param replyWanted whether the receiver is to answer with all that it knows
     * @param sender the sending node
     * @param updates the sender's whole table
     */
    record Sync(boolean replyWanted, Member sender, List<Update> updates) implements MembershipMessage {
        public Sync {
            requireNonNull(sender, "sender");
            updates = List.copyOf(updates);
        }
    }
}
