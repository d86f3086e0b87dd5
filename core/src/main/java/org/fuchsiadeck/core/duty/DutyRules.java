package org.fuchsiadeck.core.duty;

import org.fuchsiadeck.core.model.Checks;

/**
 * Time limits for the leader lease and for usage reports.
 *
 * @param leaseMs the time for which the leader's lease lasts without renewal, and which a new leader waits before it
 *     acts, in milliseconds
 * @param usageWindowMs the length of a usage window, in milliseconds
 * @param usageLateMs the time after a window's end within which its usage report must arrive, in milliseconds
 */
public record DutyRules(long leaseMs, long usageWindowMs, long usageLateMs) {
    /** The rules of a node whose settings contain none. */
    public static final DutyRules DEFAULT = new DutyRules(3_000, 5_000, 10_000);

    private static final long MAX_MS = 3_600_000;

    public DutyRules {
        Checks.inRange(leaseMs, 1, MAX_MS, "leaseMs");
        Checks.inRange(usageWindowMs, 1, MAX_MS, "usageWindowMs");
        Checks.inRange(usageLateMs, 1, MAX_MS, "usageLateMs");
    }
}
