package org.fuchsiadeck.core.claim;

import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * The idempotency keys a node has claimed, or keeps for others.
 *
 * @param chain the rosters the node goes by, if it knows any
 * @param ownerClaims the claims it keeps as an owner
 * @param requesterClaims the claims of its own requests
 * @param peerRevisions what it knows of the rosters others go by
 * @param takeover how far claims of earlier rosters are taken over
 * @param maintenance what it needs to keep the rosters up to date
 */
public record ClaimState(
        Option<RosterChain> chain,
        OwnerClaims ownerClaims,
        RequesterClaims requesterClaims,
        PeerRevisions peerRevisions,
        Takeover takeover,
        Maintenance maintenance) {
    public ClaimState {
        requireNonNull(chain, "chain");
        requireNonNull(ownerClaims, "ledger");
        requireNonNull(requesterClaims, "asking");
        requireNonNull(peerRevisions, "contacts");
        requireNonNull(takeover, "takeover");
        requireNonNull(maintenance, "upkeep");
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static ClaimState initial() {
        return new ClaimState(
                Option.none(),
                OwnerClaims.empty(),
                RequesterClaims.empty(),
                PeerRevisions.empty(),
                Takeover.empty(),
                Maintenance.initial());
    }

    /**
     * Tells whether other nodes have taken over all claims that a node keeps, so that it can stop without a loss.
     *
     * @param self the node
     * @return whether it is in no roster in force
     */
    public boolean isHandedOver(NodeId self) {
        return chain.forAll(c -> !c.includes(self));
    }

    ClaimState with(RosterChain next) {
        return new ClaimState(Option.of(next), ownerClaims, requesterClaims, peerRevisions, takeover, maintenance);
    }

    ClaimState with(OwnerClaims next) {
        return new ClaimState(chain, next, requesterClaims, peerRevisions, takeover, maintenance);
    }

    ClaimState with(RequesterClaims next) {
        return new ClaimState(chain, ownerClaims, next, peerRevisions, takeover, maintenance);
    }

    ClaimState with(PeerRevisions next) {
        return new ClaimState(chain, ownerClaims, requesterClaims, next, takeover, maintenance);
    }

    ClaimState with(Takeover next) {
        return new ClaimState(chain, ownerClaims, requesterClaims, peerRevisions, next, maintenance);
    }

    ClaimState with(Maintenance next) {
        return new ClaimState(chain, ownerClaims, requesterClaims, peerRevisions, takeover, next);
    }

    long revision() {
        return chain.map(RosterChain::revision).getOrElse(0L);
    }
}
