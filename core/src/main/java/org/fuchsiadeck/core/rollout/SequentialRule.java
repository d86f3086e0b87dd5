package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A sequential test on each route, stage and load band: the likelihood of what the new version showed under a worse rate,
 * averaged over several worse rates, against its likelihood under the old version's rate. The ratio may be looked at
 * after every attempt; a good version exceeds the bound with a probability of at most {@link #FALSE_ALARM}.
 */
public final class SequentialRule implements VerdictRule {
    private static final double FALSE_ALARM = 1e-4;
    private static final long MIN_ON_ROUTE = 20;

    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        Finding worst = worst(whole(rollout, evidence));
        double bound = bound(whole(rollout, evidence).size());
        if (worst.logRatio() >= bound) {
            return new Judgement(Verdict.BAD, worst.text());
        }
        if (sampled(rollout, evidence) && worst.logRatio() < bound / 2) {
            Tally seen = evidence.total(rollout.newVersion());
            return new Judgement(Verdict.GOOD, seen.bad() + " of " + seen.count() + " answers bad on all routes");
        }
        return new Judgement(Verdict.OPEN, worst.text());
    }

    @Override
    public Judgement judge(Rollout rollout, Evidence total, Evidence recent) {
        Judgement whole = judge(rollout, total);
        if (whole.verdict() == Verdict.BAD) {
            return whole;
        }
        List<Finding> findings = recent(rollout, total, recent);
        Finding worst = worst(findings);
        double periods = Math.ceil((double) (rollout.dueWallMs() - rollout.startedWallMs()) / Observations.PERIOD_MS);
        return worst.logRatio() >= bound(findings.size() * periods)
                ? new Judgement(Verdict.BAD, "lately, " + worst.text())
                : whole;
    }

    private static double bound(double tests) {
        return Math.log(Math.max(1, tests) / FALSE_ALARM);
    }

    private static Finding worst(List<Finding> findings) {
        return findings.stream()
                .max(Comparator.comparingDouble(Finding::logRatio))
                .orElse(new Finding(0, "nothing seen"));
    }

    private static List<Finding> whole(Rollout rollout, Evidence evidence) {
        List<Finding> out = new ArrayList<>();
        FailureTest failures = new FailureTest(rollout, evidence, evidence);
        SlownessTest slowness = new SlownessTest(rollout, evidence, evidence);
        evidence.only(rollout.newVersion()).cells().forEach((cell, fresh) -> {
            out.add(failures.find(cell, fresh));
            out.add(slowness.perToken(cell, fresh));
            if (!slowness.cached(cell)) {
                out.add(slowness.firstByte(cell, fresh));
            }
        });
        return out;
    }

    private static List<Finding> recent(Rollout rollout, Evidence total, Evidence recent) {
        List<Finding> out = new ArrayList<>();
        FailureTest failures = new FailureTest(rollout, total, recent);
        SlownessTest slowness = new SlownessTest(rollout, total, recent);
        recent.only(rollout.newVersion()).cells().forEach((cell, fresh) -> {
            out.add(failures.find(cell, fresh));
            out.add(slowness.perToken(cell, fresh));
            if (!slowness.cached(cell) || slowness.warm(cell)) {
                out.add(slowness.firstByte(cell, fresh));
            }
        });
        return out;
    }

    private static boolean sampled(Rollout rollout, Evidence evidence) {
        io.vavr.collection.SortedSet<String> routes = evidence.routes(rollout.oldVersion());
        return routes.nonEmpty()
                && routes.forAll(r -> evidence.onRoute(rollout.newVersion(), r).count() >= MIN_ON_ROUTE);
    }

    /**
     * What one test found.
     *
     * @param logRatio the logarithm of the likelihood ratio of worse rates against the old version's
     * @param text the figures
     */
    record Finding(double logRatio, String text) {
        /** Returns the logarithm of the likelihood ratio, averaged over the worse rates. */
        static double logRatio(long hits, long count, double base, double[] worse) {
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
    }
}
