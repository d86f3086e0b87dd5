package org.fuchsiadeck.core.limit;

/**
 * What a node has in progress for one service, and how long it takes.
 *
 * @param inFlight attempts in progress
 * @param meanMs moving average of an attempt's whole time, in milliseconds; 0 before the first end
 * @param tokenMs moving average of the time between tokens, in milliseconds; 0 before the first stream
 */
public record ServiceLoad(int inFlight, double meanMs, double tokenMs) {
    /** Nothing in progress and nothing known. */
    public static final ServiceLoad NONE = new ServiceLoad(0, 0, 0);

    private static final double GAIN = 0.1;

    /**
     * Takes a dispatch into account.
     *
     * @return the next load
     */
    public ServiceLoad dispatched() {
        return new ServiceLoad(inFlight + 1, meanMs, tokenMs);
    }

    /**
     * Takes the end of an attempt into account.
     *
     * @param tookMs its whole time, in milliseconds; negative if it says nothing of the service
     * @param perTokenMs time between its tokens, in milliseconds; negative if unknown
     * @return the next load
     */
    public ServiceLoad ended(double tookMs, double perTokenMs) {
        return new ServiceLoad(inFlight - 1, average(meanMs, tookMs), average(tokenMs, perTokenMs));
    }

    /**
     * Predicts how long a request waits, from the rate at which the attempts in progress end.
     *
     * @param ahead requests that go before it
     * @return the wait, in milliseconds
     */
    public long waitMs(int ahead) {
        return Math.round((ahead + 1) * meanMs / Math.max(1, inFlight));
    }

    private static double average(double old, double value) {
        if (value < 0) {
            return old;
        }
        return old == 0 ? value : old + GAIN * (value - old);
    }
}
