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
 * @param part what is judged
 * @param cached the routes whose times to the first byte depend on prefix caches, as those of engines do
 * @param firstBytes the new version's first bytes since the rollout began, by route and stage
 */
record SlownessCheck(
        Rollout rollout,
        Evidence total,
        Evidence part,
        Set<String> cached,
        Map<FailureCheck.RouteStage, Long> firstBytes) {
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
    static SlownessCheck of(Rollout rollout, Evidence total, Evidence part) {
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
        return new SlownessCheck(rollout, total, part, cached, firstBytes);
    }

    /** Tells whether a time to the first byte says something of the version, rather than of its prefix caches. */
    boolean cachesFilled(Evidence.Cell cell) {
        return !cached(cell) || firstBytes.getOrDefault(FailureCheck.RouteStage.of(cell), 0L) >= WARM;
    }

    /** Tells whether the route's times to the first byte depend on prefix caches, as those of engines do. */
    boolean cached(Evidence.Cell cell) {
        return cached.contains(cell.route());
    }

    Finding perToken(Evidence.Cell cell, Tally fresh) {
        return find(cell, "time per token", fresh, Tally::perToken);
    }

    Finding firstByte(Evidence.Cell cell, Tally fresh) {
        return find(cell, "first byte", fresh, Tally::firstByte);
    }

    private Finding find(Evidence.Cell cell, String what, Tally fresh, Function<Tally, Histogram> durations) {
        boolean sameTime = cell.stage() == Stage.EARLY || cell.stage() == Stage.HALF;
        Histogram old = sameTime
                ? durations.apply(at(part, cell, cell.stage()))
                : durations.apply(at(total, cell, Stage.HALF)).plus(durations.apply(at(total, cell, Stage.EARLY)));
        if (old.count() < MIN_OLD) {
            return new Finding(0, () -> "route " + cell.route() + ": too few durations of the old version");
        }
        int bucket = old.bucketWithAbove(SLOW_SHARE) + (sameTime ? SAME_TIME : EARLIER);
        long slow = durations.apply(fresh).above(bucket);
        long count = durations.apply(fresh).count();
        double base = SLACK * Math.max(SLOW_SHARE, (old.above(bucket) + 1.0) / old.count());
        return new Finding(
                Finding.logRatio(slow, count, base, WORSE),
                () -> String.format(
                        Locale.ROOT,
                        "route %s load %d: %s beyond %.0f ms in %d of %d answers, old version in %d of %d",
                        cell.route(),
                        cell.load(),
                        what,
                        Histogram.upperMs(bucket),
                        slow,
                        count,
                        old.above(bucket),
                        old.count()));
    }

    private Tally at(Evidence evidence, Evidence.Cell cell, Stage stage) {
        return evidence.cells().getOrElse(cell.at(rollout.oldVersion(), stage), Tally.EMPTY);
    }
}
