package org.fuchsiadeck.core.rollout;

/**
 * A fixed limit on the share of bad answers, as the baseline to measure other rules against.
 *
 * @param limit the share of bad answers above which a version is bad, 0 to 1
 * @param minimum the attempts needed for a verdict
 */
public record ThresholdRule(double limit, long minimum) implements VerdictRule {
    @Override
    public Judgement judge(Rollout rollout, Evidence evidence) {
        Tally seen = evidence.total(rollout.newVersion());
        String figures = seen.bad() + " of " + seen.count() + " answers bad";
        if (seen.count() < minimum) {
            return new Judgement(Verdict.OPEN, figures);
        }
        boolean bad = seen.bad() > limit * seen.count();
        return new Judgement(bad ? Verdict.BAD : Verdict.GOOD, figures);
    }
}
