package org.fuchsiadeck.core.rollout;

import java.util.Locale;
import java.util.Map;

/**
 * Holds the failures of the new version against those of the old one on the same route: over the whole rollout, at the
 * same stage, and in the part that is judged, whichever were the most.
 *
 * @param oldTotal the old version's attempts by route, since the rollout began
 * @param oldJudgedByStage the same in the part that is judged, by route and stage
 * @param oldJudged the same in the part that is judged, by route
 */
record FailureCheck(
        Map<String, AttemptCounts> oldTotal,
        Map<RouteStage, AttemptCounts> oldJudgedByStage,
        Map<String, AttemptCounts> oldJudged) {
    private static final double[] WORSE = {0.03, 0.10, 0.30, 0.90};
    /** Share of failures that is never held against a version. */
    private static final double TOLERATED = 0.005;
    /** Factor on the old version's rate, since it is an estimate. */
    private static final double SLACK = 1.5;

    private static final double PERCENT = 100;
    /** Attempts of the old version needed for a rate of their own. */
    private static final long MIN_OLD = 50;

    /** Returns the test of a part of what was seen of a rollout. */
    static FailureCheck of(Rollout rollout, Evidence total, Evidence part) {
        String old = rollout.oldVersion();
        return new FailureCheck(
                AttemptCounts.groupedBy(total, old, Evidence.Cell::route),
                AttemptCounts.groupedBy(part, old, RouteStage::of),
                AttemptCounts.groupedBy(part, old, Evidence.Cell::route));
    }

    /** Tests one route and load. */
    CheckResult checkCell(Evidence.Cell cell, Tally fresh) {
        AttemptCounts old = oldTotal.getOrDefault(cell.route(), AttemptCounts.NONE);
        double ratio = CheckResult.logRatio(fresh.bad(), fresh.count(), base(RouteStage.of(cell)), WORSE);
        return new CheckResult(
                ratio,
                () -> String.format(
                        Locale.ROOT,
                        "route %s load %d: %d of %d answers bad, old version %d of %d",
                        cell.route(),
                        cell.loadBand(),
                        fresh.bad(),
                        fresh.count(),
                        old.bad(),
                        old.count()));
    }

    /** Tests all routes and loads together, against the route and stage where the old version fails most. */
    CheckResult checkAllRoutes(Map<RouteStage, AttemptCounts> fresh) {
        AttemptCounts sum = fresh.values().stream().reduce(AttemptCounts.NONE, AttemptCounts::plus);
        double base = fresh.keySet().stream().mapToDouble(this::base).max().orElse(TOLERATED);
        return new CheckResult(
                CheckResult.logRatio(sum.bad(), sum.count(), base, WORSE),
                () -> String.format(
                        Locale.ROOT,
                        "all routes: %d of %d answers bad, old version at most %.1f %% on a route",
                        sum.bad(),
                        sum.count(),
                        PERCENT * base / SLACK));
    }

    private double base(RouteStage at) {
        double overall = rate(oldTotal.getOrDefault(at.route(), AttemptCounts.NONE));
        double stage = rateOfMany(oldJudgedByStage.getOrDefault(at, AttemptCounts.NONE));
        double lately = rateOfMany(oldJudged.getOrDefault(at.route(), AttemptCounts.NONE));
        return Math.max(TOLERATED, Math.max(overall, Math.max(stage, lately)));
    }

    private static double rateOfMany(AttemptCounts old) {
        return old.count() < MIN_OLD ? 0 : rate(old);
    }

    private static double rate(AttemptCounts old) {
        return old.count() == 0 ? 0 : SLACK * (old.bad() + 0.5) / (old.count() + 1);
    }

    /** A route at a stage. */
    record RouteStage(String route, RolloutStage stage) {
        static RouteStage of(Evidence.Cell cell) {
            return new RouteStage(cell.route(), cell.stage());
        }
    }
}
