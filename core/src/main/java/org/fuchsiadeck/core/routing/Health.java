package org.fuchsiadeck.core.routing;

/**
 * Whether a backend server is suspected. Evidence is counted until an answer comes: a refused connection weighs as much
 * as two connections that closed or stayed silent, and one of the latter alone suspects nothing. When the suspicion has
 * lasted its time, one request goes there as a trial.
 *
 * @param evidence the weight of the failures since the last answer
 * @param suspicions how often the server was suspected since its last answer; 0 if it is not
 * @param untilMs when the next trial may begin, in milliseconds
 * @param trial whether a trial is in progress
 */
public record Health(int evidence, int suspicions, long untilMs, boolean trial) {
    /** Nothing speaks against the server. */
    public static final Health GOOD = new Health(0, 0, 0, false);

    private static final int SUSPECT_EVIDENCE = 2;
    private static final int MAX_DOUBLINGS = 4;

    /** What a failure says of a server. */
    public enum Evidence {
        /** Nothing. */
        NONE(0),
        /** One connection closed or stayed silent, or one answer was an error. */
        CONNECTION(1),
        /** No connection can be made. */
        SERVER(2);

        private final int weight;

        Evidence(int weight) {
            this.weight = weight;
        }
    }

    /**
     * Tells whether nothing has failed since the last answer.
     *
     * @return whether kept connections may be trusted
     */
    public boolean isClean() {
        return evidence == 0 && suspicions == 0;
    }

    /**
     * Tells whether the server is suspected and its time for a trial has not come.
     *
     * @param nowMs the time, in milliseconds
     * @return whether it is suspected
     */
    public boolean isSuspected(long nowMs) {
        return suspicions > 0 && (trial || nowMs < untilMs);
    }

    /**
     * Tells whether the next request to the server would be a trial.
     *
     * @param nowMs the time, in milliseconds
     * @return whether it would
     */
    public boolean isTrialDue(long nowMs) {
        return suspicions > 0 && !isSuspected(nowMs);
    }

    /**
     * Takes a dispatch into account.
     *
     * @param nowMs the time, in milliseconds
     * @return the next health
     */
    public Health withDispatch(long nowMs) {
        return isTrialDue(nowMs) ? new Health(evidence, suspicions, untilMs, true) : this;
    }

    /**
     * Takes a failure into account.
     *
     * @param seen what it says
     * @param ofTrial whether the attempt that failed was the trial
     * @param nowMs the time, in milliseconds
     * @param suspectMs how long a first suspicion lasts, in milliseconds
     * @return the next health
     */
    public Health withFailure(Evidence seen, boolean ofTrial, long nowMs, long suspectMs) {
        if (suspicions > 0 && !ofTrial) {
            return this;
        }
        int weight = evidence + seen.weight;
        if (seen == Evidence.NONE) {
            return ofTrial ? new Health(evidence, suspicions, untilMs, false) : this;
        }
        if (suspicions == 0 && weight < SUSPECT_EVIDENCE) {
            return new Health(weight, 0, 0, false);
        }
        long lastsMs = suspectMs << Math.min(suspicions, MAX_DOUBLINGS);
        return new Health(weight, suspicions + 1, nowMs + lastsMs, false);
    }
}
