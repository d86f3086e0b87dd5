package org.fuchsiadeck.core.rollout;

import java.util.Locale;
import java.util.Map;

/**
 * Tests whether the new version fails more often than the old one on the same route. The baseline is the highest of
 * the old version's failure rates over the whole rollout, at the same stage, and in the judged evidence.
 *
 * @param oldTotal the old version's attempts by route, since the rollout began
 * @param oldJudgedByStage the old version's attempts in the judged evidence, by route and stage
 * @param oldJudged the old version's attempts in the judged evidence, by route
 */
record FailureCheck(
        Map<String, AttemptCounts> oldTotal,
        Map<RouteStage, AttemptCounts> oldJudgedByStage,
        Map<String, AttemptCounts> oldJudged) {
    /** Failure rates, 0 to 1, that the likelihood ratio tests against the baseline. */
    private static final double[] WORSE_RATES = {0.03, 0.10, 0.30, 0.90};
    /** Failure rate, 0 to 1, that never counts against a version. */
    private static final double TOLERATED_RATE = 0.005;
    /** Factor on the old version's failure rate, which is only an estimate. */
    private static final double BASELINE_FACTOR = 1.5;

    private static final double PERCENT = 100;
    /** Attempts of the old version needed before the rate of a stage or of the judged evidence is used. */
    private static final long MIN_OLD_ATTEMPTS = 50;

    /** Creates the check for a rollout's judged evidence. */
    static FailureCheck of(Rollout rollout, Evidence total, Evidence judged) {
        String old = rollout.oldVersion();
        return new FailureCheck(
                AttemptCounts.groupedBy(total, old, Evidence.Cell::route),
                AttemptCounts.groupedBy(judged, old, RouteStage::of),
                AttemptCounts.groupedBy(judged, old, Evidence.Cell::route));
    }

    /** Tests one route, stage and load band. */
    CheckResult checkCell(Evidence.Cell cell, Tally newVersion) {
        AttemptCounts old = oldTotal.getOrDefault(cell.route(), AttemptCounts.NONE);
        double ratio =
                CheckResult.logRatio(newVersion.bad(), newVersion.count(), baseline(RouteStage.of(cell)), WORSE_RATES);
        return new CheckResult(
                ratio,
                () -> String.format(
                        Locale.ROOT,
                        "route %s load %d: %d of %d answers bad, old version %d of %d",
                        cell.route(),
                        cell.loadBand(),
                        newVersion.bad(),
                        newVersion.count(),
                        old.bad(),
                        old.count()));
    }

    /** Tests all routes, stages and load bands together, against the route and stage where the old version fails most. */
    CheckResult checkAllRoutes(Map<RouteStage, AttemptCounts> newVersion) {
        AttemptCounts sum = newVersion.values().stream().reduce(AttemptCounts.NONE, AttemptCounts::plus);
        double baseline =
                newVersion.keySet().stream().mapToDouble(this::baseline).max().orElse(TOLERATED_RATE);
        return new CheckResult(
                CheckResult.logRatio(sum.bad(), sum.count(), baseline, WORSE_RATES),
                () -> String.format(
                        Locale.ROOT,
                        "all routes: %d of %d answers bad, old version at most %.1f %% on a route",
                        sum.bad(),
                        sum.count(),
                        PERCENT * baseline / BASELINE_FACTOR));
    }

    private double baseline(RouteStage at) {
        double overall = rate(oldTotal.getOrDefault(at.route(), AttemptCounts.NONE));
        double stage = rateIfEnough(oldJudgedByStage.getOrDefault(at, AttemptCounts.NONE));
        double recent = rateIfEnough(oldJudged.getOrDefault(at.route(), AttemptCounts.NONE));
        return Math.max(TOLERATED_RATE, Math.max(overall, Math.max(stage, recent)));
    }

    private static double rateIfEnough(AttemptCounts old) {
        return old.count() < MIN_OLD_ATTEMPTS ? 0 : rate(old);
    }

    private static double rate(AttemptCounts old) {
        return old.count() == 0 ? 0 : BASELINE_FACTOR * (old.bad() + 0.5) / (old.count() + 1);
    }

    /** A route and a stage of the rollout. */
    record RouteStage(String route, RolloutStage stage) {
        static RouteStage of(Evidence.Cell cell) {
            return new RouteStage(cell.route(), cell.stage());
        }
    }
}
