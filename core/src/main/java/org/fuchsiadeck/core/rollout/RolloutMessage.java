package org.fuchsiadeck.core.rollout;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;

import static java.util.Objects.requireNonNull;

/**
 * Gossip messages about rollouts between entry nodes. Every message may be lost, repeated or late.
 */
public sealed interface RolloutMessage extends PeerMessage {
    /**
     * A node's evidence of a rollout so far. It replaces the node's earlier reports.
     *
     * @param service the service
     * @param number the rollout's number
     * @param total the evidence since the rollout began
     * @param recent the recent evidence
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
     * Digest of the registry that a node knows; the receiver answers with what is newer or missing.
     *
     * @param revision the revision of the registry; 0 if there is none, -1 if the node does not know
     * @param condemned how many versions the node knows to be condemned
     */
    record Digest(long revision, int condemned) implements RolloutMessage {}

    /**
     * The registry as the platform's service keeps it.
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
