package org.fuchsiadeck.core.limit;

/**
 * The adaptive limit of requests in progress at one backend server. Grows by one for each full window of answers
 * while at least half of it is in use, and shrinks by a fifth when the server shows overload or its recent latency
 * exceeds its own long-term average.
 *
 * @param value the limit, with a fractional part
 * @param recentMs short moving average of the time to the first byte, in milliseconds; 0 before the first answer
 * @param usualMs long moving average of the time to the first byte, in milliseconds; 0 before the first answer
 * @param cutMs time at which the limit was last decreased, in milliseconds
 */
public record ConcurrencyLimit(double value, double recentMs, double usualMs, long cutMs) {
    private static final double MIN_VALUE = 1;
    private static final double DECREASE_FACTOR = 0.8;
    private static final double RECENT_LATENCY_GAIN = 0.125;
    private static final double USUAL_LATENCY_GAIN = 0.01;
    /** Recent latency counts as overload above this multiple of the long-term one plus {@link #LATENCY_SLACK_MS}. */
    private static final double LATENCY_TOLERANCE_FACTOR = 2;

    private static final double LATENCY_SLACK_MS = 20;
    /** Least time between two decreases, so that a burst of refusals counts once. */
    private static final long DECREASE_INTERVAL_MS = 200;

    /**
     * Returns the initial limit for a server that has not answered yet.
     *
     * @param slots number of requests that the server processes at a time
     * @param max the greatest limit allowed
     * @return the limit
     */
    public static ConcurrencyLimit start(int slots, int max) {
        return new ConcurrencyLimit(Math.min(slots, max), 0, 0, Long.MIN_VALUE / 2);
    }

    /**
     * Returns the greatest number of requests that may be in progress.
     *
     * @param max the greatest limit allowed
     * @return the number of requests, at least 1
     */
    public int maxInFlight(int max) {
        return (int) Math.max(MIN_VALUE, Math.min(value, max));
    }

    /**
     * Returns the limit after an answer.
     *
     * @param nowMs the current time, in milliseconds
     * @param firstByteMs time from dispatch to the first byte of the answer, in milliseconds
     * @param inFlight requests in progress at the server, the answered one included
     * @param max the greatest limit allowed
     * @return the updated limit
     */
    public ConcurrencyLimit withAnswer(long nowMs, long firstByteMs, int inFlight, int max) {
        double recent = recentMs == 0 ? firstByteMs : recentMs + RECENT_LATENCY_GAIN * (firstByteMs - recentMs);
        double usual = usualMs == 0 ? firstByteMs : usualMs + USUAL_LATENCY_GAIN * (firstByteMs - usualMs);
        ConcurrencyLimit next = new ConcurrencyLimit(value, recent, usual, cutMs);
        if (recent > LATENCY_TOLERANCE_FACTOR * usual + LATENCY_SLACK_MS) {
            return next.withOverload(nowMs);
        }
        boolean inUse = inFlight * 2 >= value;
        double grown = inUse ? Math.min(max, value + 1 / value) : Math.min(max, value);
        return new ConcurrencyLimit(Math.max(MIN_VALUE, grown), recent, usual, cutMs);
    }

    /**
     * Returns this limit reduced to a greatest value, from which it can grow again.
     *
     * @param ceiling the greatest value
     * @return the limit; of equal value if it does not exceed the ceiling
     */
    public ConcurrencyLimit cappedAt(int ceiling) {
        return new ConcurrencyLimit(Math.max(MIN_VALUE, Math.min(value, ceiling)), recentMs, usualMs, cutMs);
    }

    /**
     * Returns the limit after a sign of overload: a refusal, a timeout or a long queue in the server.
     *
     * @param nowMs the current time, in milliseconds
     * @return the updated limit; the same if it was decreased within the last 200 milliseconds
     */
    public ConcurrencyLimit withOverload(long nowMs) {
        if (nowMs - cutMs < DECREASE_INTERVAL_MS) {
            return this;
        }
        return new ConcurrencyLimit(Math.max(MIN_VALUE, value * DECREASE_FACTOR), recentMs, usualMs, nowMs);
    }
}
