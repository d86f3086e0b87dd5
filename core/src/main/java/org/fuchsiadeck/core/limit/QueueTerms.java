package org.fuchsiadeck.core.limit;

/**
 * What the order of a queue under shared scheduling needs to know of a queued request.
 *
 * @param arrivedMs the time at which the request was queued, in milliseconds
 * @param targetMs the time by which its first token is expected, in milliseconds; {@link Long#MAX_VALUE} for none
 * @param deadlineMs the time by which its answer must have ended, in milliseconds
 * @param firstTokenMs the predicted time from its dispatch to its first token, in milliseconds
 * @param size the amount of work, in the unit of the ticket's cost
 */
public record QueueTerms(long arrivedMs, long targetMs, long deadlineMs, long firstTokenMs, double size) {
    /** The terms of a request that is queued without shared scheduling. */
    public static final QueueTerms NONE = new QueueTerms(0, Long.MAX_VALUE, Long.MAX_VALUE, 0, 0);

    /** Waiting time that raises the priority by one, for a request without a target latency, in milliseconds. */
    private static final long DEFAULT_AGING_MS = 1_000;

    /**
     * Least number of priorities that a request rises before its deadline, so that it can pass the classes of a service
     * that has several.
     */
    private static final int STEPS_BEFORE_DEADLINE = 4;

    public QueueTerms {
        if (firstTokenMs < 0 || deadlineMs < arrivedMs) {
            throw new IllegalArgumentException(
                    "expected firstTokenMs of at least 0 and a deadline after the arrival at " + arrivedMs + ", got "
                            + firstTokenMs + " and " + deadlineMs);
        }
    }

    /**
     * Returns whether the request was queued under shared scheduling.
     *
     * @return whether these are not {@link #NONE}
     */
    public boolean isShared() {
        return deadlineMs < Long.MAX_VALUE;
    }

    /**
     * Returns whether the first token can still come by a time if the request is dispatched after a wait.
     *
     * @param nowMs the time, in milliseconds
     * @param waitMs the wait before its dispatch, in milliseconds
     * @return 0 if the first token comes within the target latency, 1 if it comes before the deadline, otherwise 2
     */
    public int lateness(long nowMs, long waitMs) {
        long firstMs = nowMs + waitMs + firstTokenMs;
        if (firstMs > deadlineMs) {
            return 2;
        }
        return firstMs > targetMs ? 1 : 0;
    }

    /**
     * Returns how many priorities the request has risen by waiting: one for each target latency, or each quarter of the
     * time until its deadline if that is shorter.
     *
     * @param nowMs the time, in milliseconds
     * @return the number of priorities
     */
    public int agedSteps(long nowMs) {
        if (!isShared()) {
            return 0;
        }
        long target = targetMs == Long.MAX_VALUE ? DEFAULT_AGING_MS : targetMs - arrivedMs;
        long step = Math.max(1, Math.min(target, (deadlineMs - arrivedMs) / STEPS_BEFORE_DEADLINE));
        return (int) Math.min(Integer.MAX_VALUE / 2, Math.max(0, nowMs - arrivedMs) / step);
    }
}
