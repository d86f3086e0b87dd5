package org.fuchsiadeck.core.limit;

/**
 * How many requests may be in progress at one backend server. Grows by one for each full window of answers while it is
 * in use, and shrinks by a fifth when the server shows overload or its latency rises above its own long average.
 *
 * @param value the limit, with its fraction
 * @param recentMs short moving average of the time to the first byte, in milliseconds; 0 before the first answer
 * @param usualMs long moving average of the time to the first byte, in milliseconds; 0 before the first answer
 * @param cutMs when the limit was last cut, in milliseconds
 */
public record ConcurrencyLimit(double value, double recentMs, double usualMs, long cutMs) {
    private static final double MIN_VALUE = 1;
    private static final double CUT_FACTOR = 0.8;
    private static final double RECENT_GAIN = 0.125;
    private static final double USUAL_GAIN = 0.01;
    private static final double LATENCY_TOLERANCE = 2;
    private static final double LATENCY_SLACK_MS = 20;
    private static final long CUT_INTERVAL_MS = 200;

    /**
     * Returns the limit of a server that has not answered yet.
     *
     * @param slots how many requests the server works on at a time
     * @param max the greatest limit allowed
     * @return the limit
     */
    public static ConcurrencyLimit start(int slots, int max) {
        return new ConcurrencyLimit(Math.min(slots, max), 0, 0, Long.MIN_VALUE / 2);
    }

    /**
     * Returns how many requests may be in progress.
     *
     * @param max the greatest limit allowed
     * @return the whole number, 1 or more
     */
    public int maxInFlight(int max) {
        return (int) Math.max(MIN_VALUE, Math.min(value, max));
    }

    /**
     * Takes an answer into account.
     *
     * @param nowMs the time, in milliseconds
     * @param firstByteMs from dispatch to the first byte of the answer, in milliseconds
     * @param inFlight requests in progress at the server, the answered one included
     * @param max the greatest limit allowed
     * @return the next limit
     */
    public ConcurrencyLimit answered(long nowMs, long firstByteMs, int inFlight, int max) {
        double recent = recentMs == 0 ? firstByteMs : recentMs + RECENT_GAIN * (firstByteMs - recentMs);
        double usual = usualMs == 0 ? firstByteMs : usualMs + USUAL_GAIN * (firstByteMs - usualMs);
        ConcurrencyLimit next = new ConcurrencyLimit(value, recent, usual, cutMs);
        if (recent > LATENCY_TOLERANCE * usual + LATENCY_SLACK_MS) {
            return next.overloaded(nowMs);
        }
        boolean inUse = inFlight * 2 >= value;
        double grown = inUse ? Math.min(max, value + 1 / value) : Math.min(max, value);
        return new ConcurrencyLimit(Math.max(MIN_VALUE, grown), recent, usual, cutMs);
    }

    /**
     * Returns the limit with a smaller value, from which it grows again.
     *
     * @param most the greatest value
     * @return the limit; the same if it is small enough
     */
    public ConcurrencyLimit cappedAt(int most) {
        return new ConcurrencyLimit(Math.max(MIN_VALUE, Math.min(value, most)), recentMs, usualMs, cutMs);
    }

    /**
     * Takes a sign of overload into account: a refusal, a timeout or a long queue in the server.
     *
     * @param nowMs the time, in milliseconds
     * @return the next limit; the same if it was cut only just
     */
    public ConcurrencyLimit overloaded(long nowMs) {
        if (nowMs - cutMs < CUT_INTERVAL_MS) {
            return this;
        }
        return new ConcurrencyLimit(Math.max(MIN_VALUE, value * CUT_FACTOR), recentMs, usualMs, nowMs);
    }
}
