package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.model.Peers;

/**
 * What a node knows of the other entry nodes.
 */
public record MembershipState() {
    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static MembershipState initial() {
        return new MembershipState();
    }

    /**
     * Returns the entry nodes believed to be alive.
     *
     * @return the peers
     */
    public Peers peers() {
        return Peers.NONE;
    }
}
