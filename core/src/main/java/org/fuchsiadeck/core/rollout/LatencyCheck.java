package org.fuchsiadeck.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Tests whether the new version is slower than the old one on the same route, load band and stage. Durations of the same
 * period are compared so that a change of load is not mistaken for a slow version. Once the old version gets no requests,
 * its durations of the earlier stages are the baseline, and only a larger difference counts.
 *
 * @param rollout the rollout
 * @param total the evidence since the rollout began
 * @param judged the evidence to judge
 * @param cached routes whose time to the first byte depends on the prefix caches of backend servers, as for engines
 * @param newFirstBytes number of first-byte times of the new version since the rollout began, by route and stage
 */
record LatencyCheck(
        Rollout rollout,
        Evidence total,
        Evidence judged,
        Set<String> cached,
        Map<FailureCheck.RouteStage, Long> newFirstBytes) {
    /** Shares of slow durations, 0 to 1, that the likelihood ratio tests against the baseline. */
    private static final double[] WORSE_SHARES = {0.25, 0.50, 0.95};
    /** Share of the old version's durations, 0 to 1, that count as slow. */
    private static final double SLOW_SHARE = 0.05;
    /** Factor on the old version's share of slow durations, which is only an estimate. */
    private static final double BASELINE_FACTOR = 1.5;

    /** Durations of the old version needed for a comparison. */
    private static final long MIN_OLD_DURATIONS = 20;
    /**
     * Tolerated difference, in histogram buckets, when both versions ran at the same time: durations count as slow only this
     * far above the old version's quantile.
     */
    private static final int SAME_TIME_BUCKETS = 1;

    /** Tolerated difference, in histogram buckets, when the old version's durations are of earlier stages. */
    private static final int EARLIER_BUCKETS = 3;
    /** First-byte times on a route and stage after which the new version's prefix caches count as warm. */
    private static final long MIN_WARM_FIRST_BYTES = 200;

    /** Creates the check for a rollout's judged evidence. */
    static LatencyCheck of(Rollout rollout, Evidence total, Evidence judged) {
        Set<String> cached = new HashSet<>();
        Map<FailureCheck.RouteStage, Long> firstBytes = new HashMap<>();
        total.cells().forEach((cell, tally) -> {
            if (cell.version().equals(rollout.newVersion())) {
                firstBytes.merge(
                        FailureCheck.RouteStage.of(cell), tally.firstByte().count(), Long::sum);
            } else if (!tally.perToken().counts().isEmpty()) {
                cached.add(cell.route());
            }
        });
        return new LatencyCheck(rollout, total, judged, cached, firstBytes);
    }

    /**
     * Returns whether the time to the first byte shows how fast the version is: prefix caches do not affect it, or those of
     * the new version are warm.
     */
    boolean hasWarmCaches(Evidence.Cell cell) {
        return !cached(cell)
                || newFirstBytes.getOrDefault(FailureCheck.RouteStage.of(cell), 0L) >= MIN_WARM_FIRST_BYTES;
    }

    /** Returns whether the route's time to the first byte depends on prefix caches. */
    boolean cached(Evidence.Cell cell) {
        return cached.contains(cell.route());
    }

    CheckResult checkTimePerToken(Evidence.Cell cell, Tally newVersion) {
        return check(cell, "time per token", newVersion, Tally::perToken);
    }

    CheckResult checkFirstByte(Evidence.Cell cell, Tally newVersion) {
        return check(cell, "first byte", newVersion, Tally::firstByte);
    }

    private CheckResult check(
            Evidence.Cell cell, String metric, Tally newVersion, Function<Tally, Histogram> durations) {
        boolean sameTime = cell.stage() == RolloutStage.EARLY || cell.stage() == RolloutStage.HALF;
        Histogram oldDurations = sameTime
                ? durations.apply(tally(judged, cell, cell.stage()))
                : durations
                        .apply(tally(total, cell, RolloutStage.HALF))
                        .plus(durations.apply(tally(total, cell, RolloutStage.EARLY)));
        if (oldDurations.count() < MIN_OLD_DURATIONS) {
            return new CheckResult(0, () -> "route " + cell.route() + ": too few durations of the old version");
        }
        int bucket = oldDurations.upperQuantileBucket(SLOW_SHARE) + (sameTime ? SAME_TIME_BUCKETS : EARLIER_BUCKETS);
        long slow = durations.apply(newVersion).countAbove(bucket);
        long count = durations.apply(newVersion).count();
        double baseline =
                BASELINE_FACTOR * Math.max(SLOW_SHARE, (oldDurations.countAbove(bucket) + 1.0) / oldDurations.count());
        return new CheckResult(
                CheckResult.logRatio(slow, count, baseline, WORSE_SHARES),
                () -> String.format(
                        Locale.ROOT,
                        "route %s load %d: %s beyond %.0f ms in %d of %d answers, old version in %d of %d",
                        cell.route(),
                        cell.loadBand(),
                        metric,
                        Histogram.upperBoundMs(bucket),
                        slow,
                        count,
                        oldDurations.countAbove(bucket),
                        oldDurations.count()));
    }

    private Tally tally(Evidence evidence, Evidence.Cell cell, RolloutStage stage) {
        return evidence.cells().getOrElse(cell.withVersionAndStage(rollout.oldVersion(), stage), Tally.EMPTY);
    }
}
