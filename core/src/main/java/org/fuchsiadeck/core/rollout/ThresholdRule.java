package org.fuchsiadeck.core.rollout;

/**
 * Verdict rule with a fixed limit on the share of bad answers; the baseline for comparing other rules.
 *
 * @param maxBadShare the share of bad answers above which a version is bad, 0 to 1
 * @param minAttempts the attempts needed for a verdict
 */
public record ThresholdRule(double maxBadShare, long minAttempts) implements VerdictRule {
    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        Tally seen = evidence.total(rollout.newVersion());
        String figures = seen.bad() + " of " + seen.count() + " answers bad";
        if (seen.count() < minAttempts) {
            return new Judgement(Verdict.OPEN, figures);
        }
        boolean bad = seen.bad() > maxBadShare * seen.count();
        return new Judgement(bad ? Verdict.BAD : Verdict.GOOD, figures);
    }
}
