package org.fuchsiadeck.core.claim;

import io.vavr.control.Option;
import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * The idempotency keys a node has claimed, or keeps for others.
 *
 * @param chain the rosters the node goes by, if it knows any
 * @param ledger the claims it keeps as an owner
 * @param asking the claims of its own requests
 * @param contacts what it knows of the rosters others go by
 * @param takeover how far claims of earlier rosters are taken over
 * @param upkeep what it needs to keep the rosters up to date
 */
public record ClaimState(
        Option<RosterChain> chain, Ledger ledger, Asking asking, Contacts contacts, Takeover takeover, Upkeep upkeep) {
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
                Option.none(), Ledger.empty(), Asking.none(), Contacts.none(), Takeover.none(), Upkeep.none());
    }

    /**
     * Tells whether other nodes have taken over all claims that a node keeps, so that it can stop without a loss.
     *
     * @param self the node
     * @return whether it is in no roster in force
     */
    public boolean handedOver(NodeId self) {
        return chain.forAll(c -> !c.includes(self));
    }

    ClaimState with(RosterChain next) {
        return new ClaimState(Option.of(next), ledger, asking, contacts, takeover, upkeep);
    }

    ClaimState with(Ledger next) {
        return new ClaimState(chain, next, asking, contacts, takeover, upkeep);
    }

    ClaimState with(Asking next) {
        return new ClaimState(chain, ledger, next, contacts, takeover, upkeep);
    }

    ClaimState with(Contacts next) {
        return new ClaimState(chain, ledger, asking, next, takeover, upkeep);
    }

    ClaimState with(Takeover next) {
        return new ClaimState(chain, ledger, asking, contacts, next, upkeep);
    }

    ClaimState with(Upkeep next) {
        return new ClaimState(chain, ledger, asking, contacts, takeover, next);
    }

    long revision() {
        return chain.map(RosterChain::revision).getOrElse(0L);
    }
}
