package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Checks;

/**
 * How much a team may ask for, over all entry nodes. The unit is tokens where {@code tokens} is set, and requests
 * otherwise.
 *
 * @param ratePerSecond units a second; 0 for no limit
 * @param burst units that may be asked for at once beyond the rate
 * @param tokens whether a request counts by the tokens it reads and may generate
 * @param plainTokens tokens that a request without a prompt counts for
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
     * Returns what a request counts for.
     *
     * @param promptAndAnswer tokens that it reads and may generate; negative if it has no prompt
     * @return units of this quota
     */
    public long requestUnits(long promptAndAnswer) {
        if (!tokens) {
            return 1;
        }
        return promptAndAnswer < 0 ? plainTokens : promptAndAnswer;
    }

    /**
     * Tells whether there is a limit.
     *
     * @return whether requests are counted against it
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
