package org.fuchsiadeck.core.rollout;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;

import static java.util.Objects.requireNonNull;

/**
 * What entry nodes tell each other of rollouts. Every message may be lost, repeated or late.
 */
public sealed interface RolloutMessage extends PeerMessage {
    /**
     * All that a node saw of a rollout so far. Replaces what the node said before.
     *
     * @param service the service
     * @param number the rollout's number
     * @param total what was seen since the rollout began
     * @param recent what was seen lately
     */
    record Observed(String service, long number, Evidence total, Evidence recent) implements RolloutMessage {
        public Observed {
            requireNonNull(total, "total");
            requireNonNull(recent, "recent");
        }
    }

    /**
     * Versions found bad.
     *
     * @param condemnations the condemnations
     */
    record Condemned(List<Condemnation> condemnations) implements RolloutMessage {
        public Condemned {
            condemnations = List.copyOf(condemnations);
        }
    }

    /**
     * How far a node knows the book; a node that knows more answers.
     *
     * @param revision the revision of the book; 0 if there is none, -1 if the node does not know
     * @param condemned how many versions the node knows to be condemned
     */
    record Digest(long revision, int condemned) implements RolloutMessage {}

    /**
     * The book as the platform's service keeps it.
     *
     * @param revision its revision
     * @param text its text form
     */
    record Offer(long revision, String text) implements RolloutMessage {
        public Offer {
            requireNonNull(text, "text");
        }
    }
}
