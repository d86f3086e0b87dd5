package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Verdict rule that runs a sequential likelihood-ratio test on each route, stage and load band, and on the failures of all
 * of them together. The likelihood of the new version's results under a worse rate, averaged over several worse rates, is
 * divided by their likelihood under the old version's rate. The ratio may be evaluated after every attempt; a good version
 * exceeds the bound with a probability of at most {@link #FALSE_ALARM_PROBABILITY}.
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
     * @param minAttemptsPerRoute answers of the new version on each route, at each stage, before it can be found good
     */
    public SequentialRule(long minAttemptsPerRoute) {
        this.minAttemptsPerRoute = minAttemptsPerRoute;
    }

    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        List<CheckResult> findings = findings(rollout, evidence, evidence, false);
        CheckResult worst = worst(findings);
        double bound = bound(findings.size());
        if (worst.logRatio() >= bound) {
            return new Judgement(Verdict.BAD, worst.description().get());
        }
        if (isSampled(rollout, evidence) && worst.logRatio() < bound / 2) {
            AttemptCounts seen = AttemptCounts.groupedBy(evidence, rollout.newVersion(), c -> "")
                    .getOrDefault("", AttemptCounts.NONE);
            return new Judgement(Verdict.GOOD, seen.bad() + " of " + seen.count() + " answers bad on all routes");
        }
        return new Judgement(Verdict.OPEN, worst.description().get());
    }

    @Override
    public Judgement judge(Rollout rollout, Evidence total, Evidence recent) {
        Judgement whole = judge(rollout, total);
        if (whole.verdict() == Verdict.BAD) {
            return whole;
        }
        List<CheckResult> findings = findings(rollout, total, recent, true);
        CheckResult worst = worst(findings);
        double periods = Math.ceil((double) (rollout.dueWallMs() - rollout.startedWallMs()) / Observations.PERIOD_MS);
        return worst.logRatio() >= bound(findings.size() * periods)
                ? new Judgement(Verdict.BAD, "lately, " + worst.description().get())
                : whole;
    }

    private static double bound(double tests) {
        return Math.log(Math.max(1, tests) / FALSE_ALARM_PROBABILITY);
    }

    private static CheckResult worst(List<CheckResult> findings) {
        return findings.stream()
                .max(Comparator.comparingDouble(CheckResult::logRatio))
                .orElse(new CheckResult(0, () -> "nothing seen"));
    }

    private static List<CheckResult> findings(Rollout rollout, Evidence total, Evidence judged, boolean recentOnly) {
        List<CheckResult> out = new ArrayList<>();
        FailureCheck failures = FailureCheck.of(rollout, total, judged);
        LatencyCheck slowness = LatencyCheck.of(rollout, total, judged);
        out.add(failures.checkAllRoutes(
                AttemptCounts.groupedBy(judged, rollout.newVersion(), FailureCheck.RouteStage::of)));
        judged.ofVersion(rollout.newVersion()).cells().forEach((cell, fresh) -> {
            out.add(failures.checkCell(cell, fresh));
            out.add(slowness.checkTimePerToken(cell, fresh));
            if (recentOnly ? slowness.hasWarmCaches(cell) : !slowness.cached(cell)) {
                out.add(slowness.checkFirstByte(cell, fresh));
            }
        });
        return out;
    }

    /** Returns whether each route was sampled at the current stage. Earlier stages do not suffice, since a greater share is a
     * greater load. */
    private boolean isSampled(Rollout rollout, Evidence evidence) {
        Map<FailureCheck.RouteStage, AttemptCounts> fresh =
                AttemptCounts.groupedBy(evidence, rollout.newVersion(), FailureCheck.RouteStage::of);
        Set<String> routes = AttemptCounts.groupedBy(evidence, rollout.oldVersion(), Evidence.Cell::route)
                .keySet();
        return !routes.isEmpty()
                && routes.stream()
                        .allMatch(r ->
                                fresh.getOrDefault(new FailureCheck.RouteStage(r, rollout.stage()), AttemptCounts.NONE)
                                                .count()
                                        >= minAttemptsPerRoute);
    }
}
