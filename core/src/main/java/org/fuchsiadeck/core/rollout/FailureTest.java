package org.fuchsiadeck.core.rollout;

import java.util.Locale;

/**
 * Holds the failures of the new version against those of the old one on the same route: over the whole rollout, at the
 * same stage, and in the part that is judged, whichever were the most.
 *
 * @param rollout the rollout
 * @param total what was seen since the rollout began
 * @param part what is judged
 */
record FailureTest(Rollout rollout, Evidence total, Evidence part) {
    private static final double[] WORSE = {0.03, 0.10, 0.30, 0.90};
    /** Share of failures that is never held against a version. */
    private static final double TOLERATED = 0.005;
    /** Factor on the old version's rate, since it is an estimate. */
    private static final double SLACK = 1.5;
    /** Attempts of the old version needed for a rate of their own. */
    private static final long MIN_OLD = 50;

    SequentialRule.Finding find(Evidence.Cell cell, Tally fresh) {
        Tally old = total.onRoute(rollout.oldVersion(), cell.route());
        Evidence oldPart = new Evidence(part.only(rollout.oldVersion())
                .cells()
                .filterKeys(c -> c.route().equals(cell.route())));
        Tally sameStage =
                new Evidence(oldPart.cells().filterKeys(c -> c.stage() == cell.stage())).total(rollout.oldVersion());
        double base =
                Math.max(rate(old), Math.max(rateOfMany(sameStage), rateOfMany(oldPart.total(rollout.oldVersion()))));
        double ratio = SequentialRule.Finding.logRatio(fresh.bad(), fresh.count(), Math.max(TOLERATED, base), WORSE);
        return new SequentialRule.Finding(
                ratio,
                String.format(
                        Locale.ROOT,
                        "route %s load %d: %d of %d answers bad, old version %d of %d",
                        cell.route(),
                        cell.load(),
                        fresh.bad(),
                        fresh.count(),
                        old.bad(),
                        old.count()));
    }

    private static double rateOfMany(Tally old) {
        return old.count() < MIN_OLD ? 0 : rate(old);
    }

    private static double rate(Tally old) {
        return old.count() == 0 ? 0 : SLACK * (old.bad() + 0.5) / (old.count() + 1);
    }
}
