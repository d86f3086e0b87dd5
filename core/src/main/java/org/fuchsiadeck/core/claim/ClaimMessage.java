package org.fuchsiadeck.core.claim;

import java.util.List;

import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * What entry nodes say to each other about idempotency keys. A revision is always the revision of the rosters that the
 * sender knows; 0 if it knows none.
 */
public sealed interface ClaimMessage extends PeerMessage {
    /**
     * Asks an owner to grant a claim.
     *
     * @param id the claim
     * @param key the idempotency key
     * @param revision the rosters the requester goes by
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
     * @param verdict the owner's answer
     * @param revision the rosters the owner knows
     */
    record Reply(ClaimId id, Verdict verdict, long revision) implements ClaimMessage {
        public Reply {
            requireNonNull(id, "id");
            requireNonNull(verdict, "verdict");
        }
    }

    /** An owner's answer to a claim. */
    enum Verdict {
        /** The claim is recorded, and the owner knows of no other on the key. */
        GRANTED,
        /** Another claim on the key is in progress. */
        PENDING,
        /** The request of another claim on the key may have run. */
        UNKNOWN,
        /** The request of another claim on the key was answered. */
        ANSWERED,
        /** The owner cannot tell whether the rosters it knows are still in force. */
        NOT_READY,
        /** The requester goes by rosters older than the owner's. */
        STALE
    }

    /**
     * Tells an owner how the request of a claim ended.
     *
     * @param id the claim
     * @param key the idempotency key
     * @param status the end; never {@link ClaimStatus#PENDING}
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
     * Carries the rosters to a node that may not know them.
     *
     * @param chain the rosters
     */
    record RosterNews(RosterChain chain) implements ClaimMessage {
        public RosterNews {
            requireNonNull(chain, "chain");
        }
    }

    /**
     * Says which rosters the sender goes by and how far it has taken over earlier claims.
     *
     * @param reply whether this answers a digest; if not, an answer is wanted
     * @param sentMs the time of the digest that asked, in milliseconds of the asking node's monotonic clock
     * @param revision the rosters the sender knows
     * @param newestBaseRevision the newest roster the sender knows, by its {@link Roster#baseRevision}
     * @param takenOver the earlier rosters whose claims the sender has taken over for the newest one
     */
    record Digest(boolean reply, long sentMs, long revision, long newestBaseRevision, List<Long> takenOver)
            implements ClaimMessage {
        public Digest {
            takenOver = List.copyOf(takenOver);
        }
    }

    /**
     * Asks an owner of earlier rosters for claims on the keys that the sender owns by the newest roster. The receiver
     * grants nothing more by rosters older than these.
     *
     * @param chain the rosters
     * @param afterKey only keys after this one
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
     * @param newestBaseRevision the newest roster of the pull, by its {@link Roster#baseRevision}
     * @param afterKey the key after which the claims begin, as asked
     * @param claims the claims, in the order of their keys
     * @param last whether there are no more claims after these; must be so if there are none
     * @param revision the rosters the sender knows
     */
    record PullReply(long newestBaseRevision, String afterKey, List<HeldClaim> claims, boolean last, long revision)
            implements ClaimMessage {
        public PullReply {
            requireNonNull(afterKey, "afterKey");
            claims = List.copyOf(claims);
            if (claims.isEmpty() && !last) {
                throw new IllegalArgumentException("a reply without claims must be the last");
            }
        }
    }

    /**
     * A claim that one owner tells another.
     *
     * @param key the idempotency key
     * @param id the claim
     * @param status what is known of it
     * @param ageMs how long ago it was made, in milliseconds
     * @param leftMs for how long it is still to be remembered, in milliseconds
     */
    record HeldClaim(String key, ClaimId id, ClaimStatus status, long ageMs, long leftMs) {
        public HeldClaim {
            Checks.notBlank(key, "key");
            requireNonNull(id, "id");
            requireNonNull(status, "status");
        }
    }
}
