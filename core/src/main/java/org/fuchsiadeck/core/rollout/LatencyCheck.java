package org.fuchsiadeck.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Holds the durations of the new version against those of the old one on the same route, at the same load, stage and
 * time: a load that changes must not look like a slow version. When the old version gets no requests any more, its
 * durations of the stage before serve, and only a greater slowness counts.
 *
 * @param rollout the rollout
 * @param total what was seen since the rollout began
 * @param judged what is judged
 * @param cached the routes whose times to the first byte depend on prefix caches, as those of engines do
 * @param newFirstBytes the new version's first bytes since the rollout began, by route and stage
 */
record LatencyCheck(
        Rollout rollout,
        Evidence total,
        Evidence judged,
        Set<String> cached,
        Map<FailureCheck.RouteStage, Long> newFirstBytes) {
    private static final double[] WORSE = {0.25, 0.50, 0.95};
    /** Share of the old version's durations that count as slow. */
    private static final double SLOW_SHARE = 0.05;
    /** Factor on the old version's share, since it is an estimate. */
    private static final double SLACK = 1.5;

    private static final long MIN_OLD = 20;
    /** Buckets beyond the old version's slow durations, when they are of the same time and of an earlier one. */
    private static final int SAME_TIME = 1;

    private static final int EARLIER = 3;
    /** First bytes on a route and stage after which the new version's prefix caches count as filled. */
    private static final long WARM = 200;

    /** Returns the test of a part of what was seen of a rollout. */
    static LatencyCheck of(Rollout rollout, Evidence total, Evidence part) {
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
        return new LatencyCheck(rollout, total, part, cached, firstBytes);
    }

    /** Tells whether a time to the first byte says something of the version, rather than of its prefix caches. */
    boolean hasWarmCaches(Evidence.Cell cell) {
        return !cached(cell) || newFirstBytes.getOrDefault(FailureCheck.RouteStage.of(cell), 0L) >= WARM;
    }

    /** Tells whether the route's times to the first byte depend on prefix caches, as those of engines do. */
    boolean cached(Evidence.Cell cell) {
        return cached.contains(cell.route());
    }

    CheckResult checkTimePerToken(Evidence.Cell cell, Tally fresh) {
        return find(cell, "time per token", fresh, Tally::perToken);
    }

    CheckResult checkFirstByte(Evidence.Cell cell, Tally fresh) {
        return find(cell, "first byte", fresh, Tally::firstByte);
    }

    private CheckResult find(Evidence.Cell cell, String what, Tally fresh, Function<Tally, Histogram> durations) {
        boolean sameTime = cell.stage() == RolloutStage.EARLY || cell.stage() == RolloutStage.HALF;
        Histogram old = sameTime
                ? durations.apply(at(judged, cell, cell.stage()))
                : durations
                        .apply(at(total, cell, RolloutStage.HALF))
                        .plus(durations.apply(at(total, cell, RolloutStage.EARLY)));
        if (old.count() < MIN_OLD) {
            return new CheckResult(0, () -> "route " + cell.route() + ": too few durations of the old version");
        }
        int bucket = old.upperQuantileBucket(SLOW_SHARE) + (sameTime ? SAME_TIME : EARLIER);
        long slow = durations.apply(fresh).countAbove(bucket);
        long count = durations.apply(fresh).count();
        double base = SLACK * Math.max(SLOW_SHARE, (old.countAbove(bucket) + 1.0) / old.count());
        return new CheckResult(
                CheckResult.logRatio(slow, count, base, WORSE),
                () -> String.format(
                        Locale.ROOT,
                        "route %s load %d: %s beyond %.0f ms in %d of %d answers, old version in %d of %d",
                        cell.route(),
                        cell.loadBand(),
                        what,
                        Histogram.upperBoundMs(bucket),
                        slow,
                        count,
                        old.countAbove(bucket),
                        old.count()));
    }

    private Tally at(Evidence evidence, Evidence.Cell cell, RolloutStage stage) {
        return evidence.cells().getOrElse(cell.withVersionAndStage(rollout.oldVersion(), stage), Tally.EMPTY);
    }
}
