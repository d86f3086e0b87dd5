package org.fuchsiadeck.core.claim;

import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * Identifies one claim made for a request. Identifiers are never reused, so that a delayed message about an earlier
 * claim cannot affect a later one.
 *
 * @param requester the node that handles the request
 * @param number the number that the node assigned to the claim
 */
public record ClaimId(NodeId requester, long number) {
    public ClaimId {
        requireNonNull(requester, "requester");
    }

    @Override
    public String toString() {
        return requester + "/" + number;
    }
}
