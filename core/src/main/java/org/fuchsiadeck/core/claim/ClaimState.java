package org.fuchsiadeck.core.claim;

import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * The idempotency claims of a node: those of its own requests, and those that it stores as an owner of keys.
 *
 * @param chain the rosters that the node uses, if it has any
 * @param ledger the claims that the node stores as an owner
 * @param asking the claims of the node's own requests
 * @param contacts the revisions of the rosters that other nodes use
 * @param takeover the progress of taking over claims of earlier rosters
 * @param upkeep the state of the periodic maintenance of the rosters
 */
public record ClaimState(
        Option<RosterChain> chain,
        OwnerClaims ledger,
        RequesterClaims asking,
        PeerRevisions contacts,
        Takeover takeover,
        Maintenance upkeep) {
    public ClaimState {
        requireNonNull(chain, "chain");
        requireNonNull(ledger, "ledger");
        requireNonNull(asking, "asking");
        requireNonNull(contacts, "contacts");
        requireNonNull(takeover, "takeover");
        requireNonNull(upkeep, "upkeep");
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
     * Returns whether other nodes have taken over all claims that a node stores, so that it can stop without losing
     * any.
     *
     * @param self the node
     * @return whether the node is a member of none of the current rosters
     */
    public boolean isHandedOver(NodeId self) {
        return chain.forAll(c -> !c.includes(self));
    }

    ClaimState with(RosterChain next) {
        return new ClaimState(Option.of(next), ledger, asking, contacts, takeover, upkeep);
    }

    ClaimState with(OwnerClaims next) {
        return new ClaimState(chain, next, asking, contacts, takeover, upkeep);
    }

    ClaimState with(RequesterClaims next) {
        return new ClaimState(chain, ledger, next, contacts, takeover, upkeep);
    }

    ClaimState with(PeerRevisions next) {
        return new ClaimState(chain, ledger, asking, next, takeover, upkeep);
    }

    ClaimState with(Takeover next) {
        return new ClaimState(chain, ledger, asking, contacts, next, upkeep);
    }

    ClaimState with(Maintenance next) {
        return new ClaimState(chain, ledger, asking, contacts, takeover, next);
    }

    long revision() {
        return chain.map(RosterChain::revision).getOrElse(0L);
    }
}
