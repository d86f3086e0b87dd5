package org.fuchsiadeck.core.limit;

/**
 * What a node has in progress for one service, and how long it takes.
 *
 * @param inFlight attempts in progress
 * @param meanMs moving average of an attempt's whole time, in milliseconds; 0 before the first end
 * @param tokenMs moving average of the time between tokens, in milliseconds; 0 before the first stream
 * @param time the time that requests take from a server
 */
public record ServiceLoad(int inFlight, double meanMs, double tokenMs, RequestTime time) {
    /** Nothing in progress and nothing known. */
    public static final ServiceLoad NONE = new ServiceLoad(0, 0, 0, RequestTime.NONE);

    private static final double GAIN = 0.1;

    /**
     * Takes a dispatch into account.
     *
     * @return the next load
     */
    public ServiceLoad dispatched() {
        return new ServiceLoad(inFlight + 1, meanMs, tokenMs, time);
    }

    /**
     * Takes the time into account that a fresh request takes from its server.
     *
     * @param takesMs the time as estimated, in milliseconds
     * @return the next load
     */
    public ServiceLoad requested(double takesMs) {
        return new ServiceLoad(inFlight, meanMs, tokenMs, time.add(takesMs));
    }

    /**
     * Takes the end of an attempt into account.
     *
     * @param tookMs its whole time, in milliseconds; negative if it says nothing of the service
     * @param perTokenMs time between its tokens, in milliseconds; negative if unknown
     * @return the next load
     */
    public ServiceLoad ended(double tookMs, double perTokenMs) {
        return new ServiceLoad(inFlight - 1, average(meanMs, tookMs), average(tokenMs, perTokenMs), time);
    }

    /**
     * Predicts how long a request waits, from the rate at which the attempts in progress end.
     *
     * @param ahead requests that go before it
     * @return the wait, in milliseconds
     */
    public long predictedWaitMs(int ahead) {
        return Math.round((ahead + 1) * meanMs / Math.max(1, inFlight));
    }

    /**
     * The time that a request takes from a server.
     *
     * @param meanMs moving average, in milliseconds
     * @param seen requests seen, as far as they matter
     */
    public record RequestTime(double meanMs, int seen) {
        static final RequestTime NONE = new RequestTime(0, 0);

        /** Sizes of prompts differ by orders of magnitude, so that fewer requests say little. */
        private static final int ENOUGH = 50;

        RequestTime add(double takesMs) {
            int count = Math.min(seen + 1, ENOUGH);
            return new RequestTime(meanMs + (takesMs - meanMs) / count, count);
        }

        /**
         * Tells whether enough requests were seen for an estimate.
         *
         * @return whether the mean can be relied on
         */
        public boolean reliable() {
            return seen >= ENOUGH;
        }
    }

    private static double average(double old, double value) {
        if (value < 0) {
            return old;
        }
        return old == 0 ? value : old + GAIN * (value - old);
    }
}
