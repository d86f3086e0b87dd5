package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges a new version by sequential likelihood-ratio tests, one for each route, stage and load band, and one for the
 * failures of all of them together. The ratio compares the likelihood of the new version's results under worse rates
 * (averaged over several rates) with their likelihood under the old version's rate. It may be evaluated after every
 * attempt; a good version exceeds the bound with a probability of at most {@link #FALSE_ALARM_PROBABILITY}.
 */
public final class SequentialRule implements VerdictRule {
    private static final double FALSE_ALARM_PROBABILITY = 1e-4;
    private static final long MIN_ATTEMPTS_PER_ROUTE = 20;

    private final long minAttemptsPerRoute;

    /** Creates a rule for rollouts that take minutes. */
    public SequentialRule() {
        this(MIN_ATTEMPTS_PER_ROUTE);
    }

    /**
     * Creates a rule.
     *
     * @param minAttemptsPerRoute attempts at the new version, on each route and at the current stage, that the verdict good
     *     requires
     */
    public SequentialRule(long minAttemptsPerRoute) {
        this.minAttemptsPerRoute = minAttemptsPerRoute;
    }

    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        List<CheckResult> results = runChecks(rollout, evidence, evidence, false);
        CheckResult worst = worst(results);
        double bound = bound(results.size());
        if (worst.logRatio() >= bound) {
            return new Judgement(Verdict.BAD, worst.description().get());
        }
        if (isSampled(rollout, evidence) && worst.logRatio() < bound / 2) {
            AttemptCounts counts = AttemptCounts.groupedBy(evidence, rollout.newVersion(), c -> "")
                    .getOrDefault("", AttemptCounts.NONE);
            return new Judgement(Verdict.GOOD, counts.bad() + " of " + counts.count() + " answers bad on all routes");
        }
        return new Judgement(Verdict.OPEN, worst.description().get());
    }

    @Override
    public Judgement judge(Rollout rollout, Evidence total, Evidence recent) {
        Judgement totalJudgement = judge(rollout, total);
        if (totalJudgement.verdict() == Verdict.BAD) {
            return totalJudgement;
        }
        List<CheckResult> results = runChecks(rollout, total, recent, true);
        CheckResult worst = worst(results);
        double periods = Math.ceil((double) (rollout.dueWallMs() - rollout.startedWallMs()) / Observations.PERIOD_MS);
        return worst.logRatio() >= bound(results.size() * periods)
                ? new Judgement(Verdict.BAD, "lately, " + worst.description().get())
                : totalJudgement;
    }

    /** Returns the bound on the logarithm of the ratio, for tests that share the probability of a false alarm. */
    private static double bound(double tests) {
        return Math.log(Math.max(1, tests) / FALSE_ALARM_PROBABILITY);
    }

    private static CheckResult worst(List<CheckResult> results) {
        return results.stream()
                .max(Comparator.comparingDouble(CheckResult::logRatio))
                .orElse(new CheckResult(0, () -> "nothing seen"));
    }

    private static List<CheckResult> runChecks(Rollout rollout, Evidence total, Evidence judged, boolean recentOnly) {
        List<CheckResult> results = new ArrayList<>();
        FailureCheck failures = FailureCheck.of(rollout, total, judged);
        LatencyCheck latency = LatencyCheck.of(rollout, total, judged);
        results.add(failures.checkAllRoutes(
                AttemptCounts.groupedBy(judged, rollout.newVersion(), FailureCheck.RouteStage::of)));
        judged.ofVersion(rollout.newVersion()).cells().forEach((cell, tally) -> {
            results.add(failures.checkCell(cell, tally));
            results.add(latency.checkTimePerToken(cell, tally));
            if (recentOnly ? latency.hasWarmCaches(cell) : !latency.cached(cell)) {
                results.add(latency.checkFirstByte(cell, tally));
            }
        });
        return results;
    }

    /**
     * Returns whether each route has enough attempts at the current stage. Attempts at earlier stages do not suffice, since
     * a greater share of the requests is a greater load.
     */
    private boolean isSampled(Rollout rollout, Evidence evidence) {
        Map<FailureCheck.RouteStage, AttemptCounts> newCounts =
                AttemptCounts.groupedBy(evidence, rollout.newVersion(), FailureCheck.RouteStage::of);
        Set<String> routes = AttemptCounts.groupedBy(evidence, rollout.oldVersion(), Evidence.Cell::route)
                .keySet();
        return !routes.isEmpty()
                && routes.stream()
                        .allMatch(r -> newCounts
                                        .getOrDefault(
                                                new FailureCheck.RouteStage(r, rollout.stage()), AttemptCounts.NONE)
                                        .count()
                                >= minAttemptsPerRoute);
    }
}
