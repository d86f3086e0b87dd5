package org.fuchsiadeck.core.claim;

/**
 * The idempotency keys a node has claimed, or keeps for others.
 */
public record ClaimState() {
    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static ClaimState initial() {
        return new ClaimState();
    }
}
