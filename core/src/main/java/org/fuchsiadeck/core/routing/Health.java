package org.fuchsiadeck.core.routing;

/**
 * The failures of a backend server since its last answer, and whether the server is suspected to be down because of
 * them. A refused connection weighs as much as two connections that closed or stayed silent; a single one of the latter
 * does not make the server suspected. After the suspicion period, one request is sent to the server as a trial.
 *
 * @param evidence the total weight of the failures since the last answer
 * @param suspicions the number of consecutive suspicions since the last answer; 0 if the server is not suspected
 * @param untilMs when the next trial may start, in milliseconds
 * @param trial whether a trial is in progress
 */
public record Health(int evidence, int suspicions, long untilMs, boolean trial) {
    /** No failure since the last answer. */
    public static final Health GOOD = new Health(0, 0, 0, false);

    /** Total evidence from which a server is suspected. */
    private static final int SUSPECT_EVIDENCE = 2;

    private static final int MAX_DOUBLINGS = 4;

    /** How strongly a failure indicates that a server is down. */
    public enum Evidence {
        /** Not at all. */
        NONE(0),
        /** Weakly: one connection closed or stayed silent, or one answer was an error. */
        CONNECTION(1),
        /** Strongly: no connection can be established. */
        SERVER(2);

        private final int weight;

        Evidence(int weight) {
            this.weight = weight;
        }
    }

    /**
     * Returns whether nothing has failed since the last answer.
     *
     * @return whether there was no failure, so that idle connections may be reused
     */
    public boolean isClean() {
        return evidence == 0 && suspicions == 0;
    }

    /**
     * Returns whether the server is suspected and no trial may start yet.
     *
     * @param nowMs the time, in milliseconds
     * @return whether no request may be sent to the server
     */
    public boolean isSuspected(long nowMs) {
        return suspicions > 0 && (trial || nowMs < untilMs);
    }

    /**
     * Returns whether the next request to the server would be a trial.
     *
     * @param nowMs the time, in milliseconds
     * @return whether a trial is due
     */
    public boolean isTrialDue(long nowMs) {
        return suspicions > 0 && !isSuspected(nowMs);
    }

    /**
     * Marks a trial as in progress if one is due when a request is sent to the server.
     *
     * @param nowMs the time, in milliseconds
     * @return the next health
     */
    public Health withDispatch(long nowMs) {
        return isTrialDue(nowMs) ? new Health(evidence, suspicions, untilMs, true) : this;
    }

    /**
     * Adds a failure. Each failed trial doubles the suspicion period, up to 16 times the first one. While the server is
     * suspected, failures of other attempts do not count. A failure that is no evidence against the server only ends
     * its trial.
     *
     * @param newEvidence how strongly the failure indicates that the server is down
     * @param wasTrial whether the attempt that failed was the trial
     * @param nowMs the time, in milliseconds
     * @param suspectMs the duration of the first suspicion, in milliseconds
     * @return the next health
     */
    public Health withFailure(Evidence newEvidence, boolean wasTrial, long nowMs, long suspectMs) {
        if (suspicions > 0 && !wasTrial) {
            return this;
        }
        int weight = evidence + newEvidence.weight;
        if (newEvidence == Evidence.NONE) {
            return wasTrial ? new Health(evidence, suspicions, untilMs, false) : this;
        }
        if (suspicions == 0 && weight < SUSPECT_EVIDENCE) {
            return new Health(weight, 0, 0, false);
        }
        long durationMs = suspectMs << Math.min(suspicions, MAX_DOUBLINGS);
        return new Health(weight, suspicions + 1, nowMs + durationMs, false);
    }
}
