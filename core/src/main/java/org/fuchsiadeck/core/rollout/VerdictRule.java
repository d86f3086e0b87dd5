package org.fuchsiadeck.core.rollout;

import static java.util.Objects.requireNonNull;

/**
 * Rule that judges a new version of a service against the old one.
 */
@FunctionalInterface
public interface VerdictRule {
    /**
     * Judges the evidence of a rollout.
     *
     * @param rollout the rollout
     * @param evidence the evidence of both versions
     * @return the verdict so far
     */
    Judgement judge(Rollout rollout, Evidence evidence);

    /**
     * Judges the whole and the recent evidence of a rollout, since some faults show late.
     *
     * @param rollout the rollout
     * @param total the evidence of both versions since the rollout began
     * @param recent the recent evidence of both versions
     * @return the verdict so far; bad if either part is bad
     */
    default Judgement judge(Rollout rollout, Evidence total, Evidence recent) {
        Judgement totalJudgement = judge(rollout, total);
        if (totalJudgement.verdict() == Verdict.BAD) {
            return totalJudgement;
        }
        Evidence lateEvidence = total.ofVersion(rollout.oldVersion()).plus(recent.ofVersion(rollout.newVersion()));
        Judgement recentJudgement = judge(rollout, lateEvidence);
        return recentJudgement.verdict() == Verdict.BAD ? recentJudgement : totalJudgement;
    }

    /** Verdict on a new version. */
    enum Verdict {
        /** It is worse than the old version. */
        BAD,
        /** Every route has enough attempts, and no check found it worse. */
        GOOD,
        /** There is too little evidence. */
        OPEN
    }

    /**
     * A verdict with its figures.
     *
     * @param verdict the verdict
     * @param reason the figures that decided, for the report
     */
    record Judgement(Verdict verdict, String reason) {
        public Judgement {
            requireNonNull(verdict, "verdict");
            requireNonNull(reason, "reason");
        }
    }
}
