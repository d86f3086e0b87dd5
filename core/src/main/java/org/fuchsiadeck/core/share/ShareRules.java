package org.fuchsiadeck.core.share;

import org.fuchsiadeck.core.model.Checks;

/**
 * The windows and tolerances of the limits that hold over all entry nodes together.
 *
 * @param quotaWindowMs the length of the sliding window in which a team's quota is counted, in milliseconds
 * @param quotaOverage the fraction of its quota by which a team may exceed it
 * @param quotaSlack the units per window by which a team may exceed its quota in addition
 * @param retryWindowMs the length of the sliding window in which retries are counted, in milliseconds
 * @param retryRatio the retries that a service may get per request
 * @param retrySlack the retries that a service may get per window in addition
 * @param usageWindowMs the length of the fixed windows for which usage is reported, in milliseconds; they begin at
 *     whole multiples of this length since 1970
 */
public record ShareRules(
        long quotaWindowMs,
        double quotaOverage,
        double quotaSlack,
        long retryWindowMs,
        double retryRatio,
        double retrySlack,
        long usageWindowMs) {
    /** The rules of a node whose settings contain no limits over all nodes. */
    public static final ShareRules DEFAULT = new ShareRules(8_000, 0, 0, 10_000, 0.1, 20, 5_000);

    private static final long MAX_WINDOW_MS = 3_600_000;

    public ShareRules {
        Checks.inRange(quotaWindowMs, 1, MAX_WINDOW_MS, "quotaWindowMs");
        Checks.inRange(retryWindowMs, 1, MAX_WINDOW_MS, "retryWindowMs");
        Checks.inRange(usageWindowMs, 1, MAX_WINDOW_MS, "usageWindowMs");
        if (!(quotaOverage >= 0) || !(quotaSlack >= 0)) {
            throw new IllegalArgumentException(
                    "expected quotaOverage and quotaSlack of at least 0, got " + quotaOverage + " and " + quotaSlack);
        }
        if (!(retryRatio >= 0) || !(retrySlack >= 0)) {
            throw new IllegalArgumentException(
                    "expected retryRatio and retrySlack of at least 0, got " + retryRatio + " and " + retrySlack);
        }
    }
}
