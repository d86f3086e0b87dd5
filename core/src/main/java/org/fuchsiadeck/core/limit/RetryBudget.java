package org.fuchsiadeck.core.limit;

/**
 * The number of retries that a node may still make. New requests replenish the budget and retries use it up, which
 * limits retries to a share of the new requests.
 *
 * @param retries number of retries left, with a fractional part
 */
public record RetryBudget(double retries) {
    /** Capacity of the budget, and the number of retries a node starts with. */
    public static final double MAX_RETRIES = 10;

    private static final double PERCENT = 100;

    /**
     * Returns the budget of a newly started node.
     *
     * @return a full budget
     */
    public static RetryBudget initial() {
        return new RetryBudget(MAX_RETRIES);
    }

    /**
     * Returns the budget after a new request.
     *
     * @param percent number of retries allowed per hundred new requests
     * @return the updated budget
     */
    public RetryBudget withNewRequest(int percent) {
        return new RetryBudget(Math.min(MAX_RETRIES, retries + percent / PERCENT));
    }

    /**
     * Returns whether one more retry is allowed.
     *
     * @return whether at least one retry is left
     */
    public boolean allowsRetry() {
        return retries >= 1;
    }

    /**
     * Returns the budget after a retry.
     *
     * @return the updated budget
     */
    public RetryBudget withRetry() {
        return new RetryBudget(Math.max(0, retries - 1));
    }
}
