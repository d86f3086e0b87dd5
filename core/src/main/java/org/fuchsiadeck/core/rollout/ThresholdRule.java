package org.fuchsiadeck.core.rollout;

/**
 * Judges a new version by a fixed limit on its share of bad answers; the baseline for comparing other rules.
 *
 * @param maxBadShare the share of bad answers above which a version is bad, 0 to 1
 * @param minAttempts the attempts needed for a verdict
 */
public record ThresholdRule(double maxBadShare, long minAttempts) implements VerdictRule {
    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        Tally tally = evidence.total(rollout.newVersion());
        String figures = tally.bad() + " of " + tally.count() + " answers bad";
        if (tally.count() < minAttempts) {
            return new Judgement(Verdict.OPEN, figures);
        }
        boolean bad = tally.bad() > maxBadShare * tally.count();
        return new Judgement(bad ? Verdict.BAD : Verdict.GOOD, figures);
    }
}
