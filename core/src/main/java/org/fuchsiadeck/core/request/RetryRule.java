package org.fuchsiadeck.core.request;

/**
 * The one table that says what may follow an attempt that ended without a whole answer.
 *
 * <table>
 * <caption>What may follow</caption>
 * <tr><th>extent</th><th>idempotent</th><th>not idempotent</th><th>the attempt may have run</th></tr>
 * <tr><td>NOT_WRITTEN</td><td>retry</td><td>retry</td><td>no</td></tr>
 * <tr><td>REFUSED</td><td>retry</td><td>retry</td><td>no</td></tr>
 * <tr><td>WRITTEN</td><td>retry</td><td>end</td><td>yes</td></tr>
 * <tr><td>BEGUN</td><td>retry or resume</td><td>end</td><td>yes</td></tr>
 * </table>
 *
 * <p>A request that ends here is answered as not run only if none of its attempts may have run.
 */
enum RetryRule {
    NOT_WRITTEN(AttemptProgress.NOT_WRITTEN, true, true, false),
    REFUSED(AttemptProgress.REFUSED, true, true, false),
    WRITTEN(AttemptProgress.WRITTEN, true, false, true),
    BEGUN(AttemptProgress.BEGUN, true, false, true);

    private final AttemptProgress extent;
    private final boolean ifIdempotent;
    private final boolean otherwise;
    private final boolean mayHaveRun;

    RetryRule(AttemptProgress extent, boolean ifIdempotent, boolean otherwise, boolean mayHaveRun) {
        this.extent = extent;
        this.ifIdempotent = ifIdempotent;
        this.otherwise = otherwise;
        this.mayHaveRun = mayHaveRun;
    }

    static RetryRule of(AttemptProgress extent) {
        for (RetryRule rule : values()) {
            if (rule.extent == extent) {
                return rule;
            }
        }
        throw new IllegalArgumentException("no rule for " + extent);
    }

    /**
     * Tells whether the request may be dispatched again.
     *
     * @param idempotent whether the request may run more than once
     * @return whether it may
     */
    boolean allowsRetry(boolean idempotent) {
        return idempotent ? ifIdempotent : otherwise;
    }

    /**
     * Tells whether the attempt may have run.
     *
     * @return whether it may have
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
