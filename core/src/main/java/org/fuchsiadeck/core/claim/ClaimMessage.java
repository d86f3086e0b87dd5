package org.fuchsiadeck.core.claim;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A message between entry nodes about idempotency claims. Unless stated otherwise, a revision is that of the rosters
 * that the sender uses; 0 if it has none.
 */
public sealed interface ClaimMessage extends PeerMessage {
    /**
     * Requests a claim from an owner of the key.
     *
     * @param id the claim
     * @param key the idempotency key
     * @param revision the revision of the rosters that the requester uses
     */
    record Request(ClaimId id, String key, long revision) implements ClaimMessage {
        public Request {
            requireNonNull(id, "id");
            Checks.notBlank(key, "key");
        }
    }

    /**
     * Answers a {@link Request}.
     *
     * @param id the claim
     * @param verdict the owner's decision
     * @param revision the revision of the rosters that the owner uses
     */
    record Reply(ClaimId id, Verdict verdict, long revision) implements ClaimMessage {
        public Reply {
            requireNonNull(id, "id");
            requireNonNull(verdict, "verdict");
        }
    }

    /** An owner's decision on a claim. */
    enum Verdict {
        /** The claim is stored, and the owner has no other active claim on the key. */
        GRANTED,
        /** Another claim on the key is in progress. */
        PENDING,
        /** The request of another claim on the key may have run. */
        UNKNOWN,
        /** The request of another claim on the key was answered. */
        ANSWERED,
        /**
         * The owner cannot grant the claim: no majority has recently confirmed to it that its rosters are current, or
         * the claim has been released.
         */
        NOT_READY,
        /** The requester uses older rosters than the owner. */
        STALE
    }

    /**
     * Reports the outcome of the request of a claim to an owner.
     *
     * @param id the claim
     * @param key the idempotency key
     * @param status the outcome; never {@link ClaimStatus#PENDING}
     */
    record Settle(ClaimId id, String key, ClaimStatus status) implements ClaimMessage {
        public Settle {
            requireNonNull(id, "id");
            Checks.notBlank(key, "key");
            requireNonNull(status, "status");
        }
    }

    /**
     * Answers a {@link Settle}.
     *
     * @param id the claim
     */
    record SettleAck(ClaimId id) implements ClaimMessage {
        public SettleAck {
            requireNonNull(id, "id");
        }
    }

    /**
     * Sends the rosters to a node that may have older ones.
     *
     * @param chain the rosters
     */
    record RosterNews(RosterChain chain) implements ClaimMessage {
        public RosterNews {
            requireNonNull(chain, "chain");
        }
    }

    /**
     * Reports the revision of the sender's rosters and which earlier rosters' claims it has taken over.
     *
     * @param reply whether this is a reply; if not, the receiver answers with its own digest
     * @param sentMs the time at which the exchange began, in milliseconds of the initiating node's monotonic clock; 0
     *     in an unsolicited reply
     * @param revision the revision of the rosters that the sender uses
     * @param newestBaseRevision the {@link Roster#basedOn} of the sender's newest roster; -1 if it has none
     * @param takenOver the {@link Roster#basedOn}s of the earlier rosters whose claims the sender has taken over
     *     for the newest one
     */
    record Digest(boolean reply, long sentMs, long revision, long newestBaseRevision, List<Long> takenOver)
            implements ClaimMessage {
        public Digest {
            takenOver = List.copyOf(takenOver);
        }
    }

    /**
     * Requests from a member of an earlier roster its claims on the keys that the sender owns in the newest roster. The
     * receiver stops granting claims that were requested under older rosters.
     *
     * @param chain the rosters that the sender uses
     * @param afterKey the key after which the wanted claims begin, exclusive; empty for the first
     */
    record Pull(RosterChain chain, String afterKey) implements ClaimMessage {
        public Pull {
            requireNonNull(chain, "chain");
            requireNonNull(afterKey, "afterKey");
        }
    }

    /**
     * Answers a {@link Pull}.
     *
     * @param newestBaseRevision the {@link Roster#basedOn} of the newest roster of the pull
     * @param afterKey the key after which the claims begin, copied from the pull
     * @param claims the claims, in the order of their keys
     * @param last whether no claims follow these; must be true if {@code claims} is empty
     * @param revision the revision of the rosters that the sender uses
     */
    record PullReply(long newestBaseRevision, String afterKey, List<HeldClaim> claims, boolean last, long revision)
            implements ClaimMessage {
        public PullReply {
            requireNonNull(afterKey, "afterKey");
            claims = List.copyOf(claims);
            if (claims.isEmpty() && !last) {
                throw new IllegalArgumentException(
                        "pull reply without claims after key \"" + afterKey + "\" must be the last");
            }
        }
    }

    /**
     * A claim as transferred from one owner to another.
     *
     * @param key the idempotency key
     * @param id the claim
     * @param status the last known status
     * @param ageMs the time since the claim was made, in milliseconds
     * @param remainingMs the time until the claim expires, in milliseconds
     */
    record HeldClaim(String key, ClaimId id, ClaimStatus status, long ageMs, long remainingMs) {
        public HeldClaim {
            Checks.notBlank(key, "key");
            requireNonNull(id, "id");
            requireNonNull(status, "status");
        }
    }
}
