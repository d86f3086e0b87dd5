package org.fuchsiadeck.core.request;

/**
 * The rules for what may follow a failed attempt, by the progress of the attempt.
 *
 * <table>
 * <caption>What may follow</caption>
 * <tr><th>progress</th><th>idempotent</th><th>not idempotent</th><th>the attempt may have run</th></tr>
 * <tr><td>NOT_WRITTEN</td><td>retry</td><td>retry</td><td>no</td></tr>
 * <tr><td>REFUSED</td><td>retry</td><td>retry</td><td>no</td></tr>
 * <tr><td>WRITTEN</td><td>retry</td><td>end</td><td>yes</td></tr>
 * <tr><td>BEGUN</td><td>retry or resume</td><td>end</td><td>yes</td></tr>
 * </table>
 *
 * <p>A request that is not retried is answered as not run only if none of its attempts may have run.
 */
enum RetryRule {
    NOT_WRITTEN(AttemptProgress.NOT_WRITTEN, true, true, false),
    REFUSED(AttemptProgress.REFUSED, true, true, false),
    WRITTEN(AttemptProgress.WRITTEN, true, false, true),
    BEGUN(AttemptProgress.BEGUN, true, false, true);

    private final AttemptProgress progress;
    private final boolean retriesIdempotent;
    private final boolean retriesOthers;
    private final boolean mayHaveRun;

    RetryRule(AttemptProgress progress, boolean retriesIdempotent, boolean retriesOthers, boolean mayHaveRun) {
        this.progress = progress;
        this.retriesIdempotent = retriesIdempotent;
        this.retriesOthers = retriesOthers;
        this.mayHaveRun = mayHaveRun;
    }

    static RetryRule of(AttemptProgress progress) {
        for (RetryRule rule : values()) {
            if (rule.progress == progress) {
                return rule;
            }
        }
        throw new IllegalArgumentException("no retry rule for attempt progress " + progress);
    }

    /**
     * Returns whether the request may be dispatched again.
     *
     * @param idempotent whether the request may run more than once
     * @return whether a retry is allowed
     */
    boolean allowsRetry(boolean idempotent) {
        return idempotent ? retriesIdempotent : retriesOthers;
    }

    /**
     * Returns whether the attempt may have run.
     *
     * @return whether it may have run
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
