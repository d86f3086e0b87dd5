package org.fuchsiadeck.core.claim;

import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * Names one try of a request to claim its key. Never reused, so that a late message about an earlier try cannot touch a
 * later one.
 *
 * @param requester the node the request is at
 * @param number the number the node gave the try
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
