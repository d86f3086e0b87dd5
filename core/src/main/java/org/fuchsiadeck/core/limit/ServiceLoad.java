package org.fuchsiadeck.core.limit;

/**
 * The attempts that a node has in progress for one service, and their mean duration.
 *
 * @param inFlight number of attempts in progress
 * @param meanMs moving average of the duration of attempts, in milliseconds; 0 before the first has ended
 * @param tokenMs moving average of the time between tokens, in milliseconds; 0 before the first stream
 * @param time estimate of the server time per request
 * @param capacity the capacity that all nodes share
 */
public record ServiceLoad(int inFlight, double meanMs, double tokenMs, RequestTime time, ServiceCapacity capacity) {
    /** The load of a service without attempts. */
    public static final ServiceLoad NONE = new ServiceLoad(0, 0, 0, RequestTime.NONE, ServiceCapacity.NONE);

    private static final double GAIN = 0.1;

    /**
     * Returns the load after a dispatch.
     *
     * @return the updated load
     */
    public ServiceLoad withDispatch() {
        return new ServiceLoad(inFlight + 1, meanMs, tokenMs, time, capacity);
    }

    /**
     * Returns the load with the server time of a new request added to the estimate.
     *
     * @param serverTimeMs estimated server time of the request, in milliseconds
     * @return the updated load
     */
    public ServiceLoad withNewRequest(double serverTimeMs) {
        return new ServiceLoad(inFlight, meanMs, tokenMs, time.add(serverTimeMs), capacity);
    }

    /**
     * Returns the load after the end of an attempt.
     *
     * @param durationMs its duration, in milliseconds; negative to leave the mean as it is, as for a failed attempt
     * @param perTokenMs mean time between its tokens, in milliseconds; negative if unknown
     * @return the updated load
     */
    public ServiceLoad withEndedAttempt(double durationMs, double perTokenMs) {
        return new ServiceLoad(inFlight - 1, average(meanMs, durationMs), average(tokenMs, perTokenMs), time, capacity);
    }

    /**
     * Returns the load with another state of the capacity that all nodes share.
     *
     * @param next the capacity
     * @return the updated load
     */
    public ServiceLoad with(ServiceCapacity next) {
        return new ServiceLoad(inFlight, meanMs, tokenMs, time, next);
    }

    /**
     * Predicts how long a queued request waits, from the rate at which the attempts in progress end; if
     * the capacity of all nodes is used up, from the rate of releases.
     *
     * @param ahead number of queued requests ahead of it
     * @return the predicted wait, in milliseconds
     */
    public long predictedWaitMs(int ahead) {
        return capacity.predictedWaitMs(ahead)
                .orElseGet(() -> Math.round((ahead + 1) * meanMs / Math.max(1, inFlight)));
    }

    /**
     * Estimate of the server time that a request takes.
     *
     * @param meanMs mean server time, in milliseconds
     * @param seen number of requests in the mean, at most 50; from there on, the mean is a moving average
     */
    public record RequestTime(double meanMs, int seen) {
        static final RequestTime NONE = new RequestTime(0, 0);

        /** Least number of requests for a reliable mean, since prompt sizes differ by orders of magnitude. */
        private static final int MIN_SAMPLES = 50;

        RequestTime add(double serverTimeMs) {
            int count = Math.min(seen + 1, MIN_SAMPLES);
            return new RequestTime(meanMs + (serverTimeMs - meanMs) / count, count);
        }

        /**
         * Returns whether the mean is based on enough requests.
         *
         * @return whether the mean is reliable
         */
        public boolean reliable() {
            return seen >= MIN_SAMPLES;
        }
    }

    private static double average(double old, double value) {
        if (value < 0) {
            return old;
        }
        return old == 0 ? value : old + GAIN * (value - old);
    }
}
