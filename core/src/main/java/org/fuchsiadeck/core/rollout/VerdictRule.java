package org.fuchsiadeck.core.rollout;

import static java.util.Objects.requireNonNull;

/**
 * Judges a new version against the old one.
 */
@FunctionalInterface
public interface VerdictRule {
    /**
     * Judges the evidence of a rollout.
     *
     * @param rollout the rollout
     * @param evidence what was seen of both versions
     * @return the verdict so far
     */
    Judgement judge(Rollout rollout, Evidence evidence);

    /** What is known of a new version. */
    enum Verdict {
        /** It is worse than the old version. */
        BAD,
        /** Every route was sampled enough, and nothing speaks against it. */
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
