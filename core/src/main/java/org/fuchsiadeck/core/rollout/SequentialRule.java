package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * A sequential test on each route and load band: the likelihood of what the new version showed under a worse rate,
 * averaged over several worse rates, against its likelihood under the old version's rate. The ratio may be looked at
 * after every attempt; a good version exceeds the bound with a probability of at most {@link #FALSE_ALARM}.
 */
public final class SequentialRule implements VerdictRule {
    private static final double FALSE_ALARM = 1e-4;
    private static final double[] WORSE_FAILURE = {0.03, 0.10, 0.30, 0.90};
    private static final double[] WORSE_SLOWNESS = {0.25, 0.50, 0.95};
    /** Share of failures that is never held against a version. */
    private static final double TOLERATED_FAILURE = 0.005;
    /** Share of the old version's durations that count as slow. */
    private static final double SLOW_SHARE = 0.05;
    /** Factor on the old version's rates, since they are estimates. */
    private static final double SLACK = 1.5;

    private static final long MIN_OLD_DURATIONS = 20;
    private static final long MIN_ON_ROUTE = 20;

    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        List<Finding> findings = findings(rollout, evidence);
        double bound = Math.log(Math.max(1, findings.size()) / FALSE_ALARM);
        Finding worst = findings.stream()
                .max(Comparator.comparingDouble(Finding::logRatio))
                .orElse(new Finding(0, "nothing seen"));
        if (worst.logRatio() >= bound) {
            return new Judgement(Verdict.BAD, worst.text());
        }
        if (sampled(rollout, evidence) && worst.logRatio() < bound / 2) {
            Tally seen = evidence.total(rollout.newVersion());
            return new Judgement(Verdict.GOOD, seen.bad() + " of " + seen.count() + " answers bad on all routes");
        }
        return new Judgement(Verdict.OPEN, worst.text());
    }

    private static List<Finding> findings(Rollout rollout, Evidence evidence) {
        List<Finding> out = new ArrayList<>();
        for (Evidence.Cell cell : evidence.cells().keySet()) {
            if (cell.version().equals(rollout.newVersion())) {
                Tally fresh = evidence.cells().get(cell).get();
                Evidence.Cell same = new Evidence.Cell(rollout.oldVersion(), cell.route(), cell.band());
                Tally sameLoad = evidence.cells().getOrElse(same, Tally.EMPTY);
                Tally old = evidence.onRoute(rollout.oldVersion(), cell.route());
                out.add(failure(cell, fresh, old));
                out.add(slowness(cell, "first byte", fresh.firstByte(), sameLoad.firstByte()));
                out.add(slowness(cell, "time per token", fresh.perToken(), sameLoad.perToken()));
            }
        }
        return out;
    }

    private static Finding failure(Evidence.Cell cell, Tally fresh, Tally old) {
        double rate = (old.bad() + 0.5) / (old.count() + 1);
        double base = Math.max(TOLERATED_FAILURE, old.count() == 0 ? 0 : SLACK * rate);
        double ratio = logRatio(fresh.bad(), fresh.count(), base, WORSE_FAILURE);
        return new Finding(
                ratio,
                String.format(
                        Locale.ROOT,
                        "route %s load %d: %d of %d answers bad, old version %d of %d",
                        cell.route(),
                        cell.band(),
                        fresh.bad(),
                        fresh.count(),
                        old.bad(),
                        old.count()));
    }

    private static Finding slowness(Evidence.Cell cell, String what, Histogram fresh, Histogram old) {
        if (old.count() < MIN_OLD_DURATIONS) {
            return new Finding(0, "route " + cell.route() + ": too few durations of the old version");
        }
        int bucket = old.bucketWithAbove(SLOW_SHARE) + 1;
        long slow = fresh.above(bucket);
        double base = SLACK * Math.max(SLOW_SHARE, (old.above(bucket) + 1.0) / old.count());
        double ratio = logRatio(slow, fresh.count(), base, WORSE_SLOWNESS);
        return new Finding(
                ratio,
                String.format(
                        Locale.ROOT,
                        "route %s load %d: %s beyond %.0f ms in %d of %d answers, old version in %d of %d",
                        cell.route(),
                        cell.band(),
                        what,
                        old.quantileAbove(SLOW_SHARE),
                        slow,
                        fresh.count(),
                        old.above(bucket),
                        old.count()));
    }

    private static double logRatio(long hits, long count, double base, double[] worse) {
        double sum = 0;
        int used = 0;
        for (double rate : worse) {
            if (rate > base) {
                sum += Math.exp(Math.min(
                        600, hits * Math.log(rate / base) + (count - hits) * Math.log((1 - rate) / (1 - base))));
                used++;
            }
        }
        return used == 0 ? 0 : Math.log(sum / used);
    }

    private static boolean sampled(Rollout rollout, Evidence evidence) {
        io.vavr.collection.SortedSet<String> routes = evidence.routes(rollout.oldVersion());
        return routes.nonEmpty()
                && routes.forAll(r -> evidence.onRoute(rollout.newVersion(), r).count() >= MIN_ON_ROUTE);
    }

    private record Finding(double logRatio, String text) {}
}
