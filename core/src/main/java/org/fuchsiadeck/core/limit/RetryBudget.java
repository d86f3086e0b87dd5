package org.fuchsiadeck.core.limit;

/**
 * The retries a node may still make. Fresh requests fill the budget, retries empty it, so that retries stay a share of
 * the fresh traffic.
 *
 * @param retries retries left, with a fraction
 */
public record RetryBudget(double retries) {
    /** The greatest number of retries saved up, and the number a node starts with. */
    public static final double MAX_RETRIES = 10;

    private static final double PERCENT = 100;

    /**
     * Returns the budget of a node that has just started.
     *
     * @return a full budget
     */
    public static RetryBudget initial() {
        return new RetryBudget(MAX_RETRIES);
    }

    /**
     * Takes a fresh request into account.
     *
     * @param percent retries allowed for each hundred fresh requests
     * @return the next budget
     */
    public RetryBudget replenished(int percent) {
        return new RetryBudget(Math.min(MAX_RETRIES, retries + percent / PERCENT));
    }

    /**
     * Tells whether one more retry is allowed.
     *
     * @return whether {@link #spent()} may be called
     */
    public boolean allowsRetry() {
        return retries >= 1;
    }

    /**
     * Takes a retry into account.
     *
     * @return the next budget
     */
    public RetryBudget spent() {
        return new RetryBudget(Math.max(0, retries - 1));
    }
}
