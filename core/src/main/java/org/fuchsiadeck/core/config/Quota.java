package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Checks;

/**
 * Rate limit of a team's requests over all entry nodes together. The unit is tokens of prompt and answer if
 * {@code tokens} is set, and requests otherwise.
 *
 * @param ratePerSecond units per second; 0 for no limit
 * @param burst units that may be requested at once beyond the rate
 * @param tokens whether a request counts by the tokens of its prompt and the most that it may generate
 * @param plainTokens tokens that a request without a prompt counts as
 */
public record Quota(double ratePerSecond, double burst, boolean tokens, int plainTokens) {
    /** No limit. */
    public static final Quota NONE = new Quota(0, 0, false, 0);

    public Quota {
        if (!(ratePerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "rate and burst must not be negative, were " + ratePerSecond + " and " + burst);
        }
        Checks.inRange(plainTokens, 0, Integer.MAX_VALUE, "plainTokens");
    }

    /**
     * Returns the units that a request uses.
     *
     * @param maxTokens the tokens of its prompt and the most that it may generate; negative if it has no prompt
     * @return the units of this quota
     */
    public long requestUnits(long maxTokens) {
        if (!tokens) {
            return 1;
        }
        return maxTokens < 0 ? plainTokens : maxTokens;
    }

    /**
     * Returns whether there is a limit.
     *
     * @return whether requests are counted against the quota
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
