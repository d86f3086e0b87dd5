package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.request.AttemptObserved;

/**
 * Counts of outcomes and histograms of durations for one version, route, stage and load band.
 *
 * @param good attempts with a whole answer
 * @param failed attempts with an error, a time-out or a closed connection
 * @param corrupt attempts with a wrong or truncated answer
 * @param firstByte times to the first byte, in milliseconds
 * @param perToken times per token, in milliseconds
 */
public record Tally(long good, long failed, long corrupt, Histogram firstByte, Histogram perToken) {
    /** A tally without attempts. */
    public static final Tally EMPTY = new Tally(0, 0, 0, Histogram.EMPTY, Histogram.EMPTY);

    /**
     * Returns the tally with an attempt added.
     *
     * @param attempt the attempt
     * @return the new tally
     */
    public Tally withAttempt(AttemptObserved attempt) {
        Histogram first = attempt.firstByteMs() < 0 ? firstByte : firstByte.withDuration(attempt.firstByteMs());
        Histogram token = attempt.perTokenMs() < 0 ? perToken : perToken.withDuration(attempt.perTokenMs());
        return switch (attempt.verdict()) {
            case GOOD -> new Tally(good + 1, failed, corrupt, first, token);
            case FAILED -> new Tally(good, failed + 1, corrupt, first, token);
            case CORRUPT -> new Tally(good, failed, corrupt + 1, first, token);
            case NEUTRAL -> this;
        };
    }

    /**
     * Returns the tally with another one added.
     *
     * @param other the other tally
     * @return the new tally
     */
    public Tally plus(Tally other) {
        return new Tally(
                good + other.good,
                failed + other.failed,
                corrupt + other.corrupt,
                firstByte.plus(other.firstByte),
                perToken.plus(other.perToken));
    }

    /**
     * Returns the number of attempts.
     *
     * @return the count
     */
    public long count() {
        return good + failed + corrupt;
    }

    /**
     * Returns the number of attempts without a whole answer.
     *
     * @return the count
     */
    public long bad() {
        return failed + corrupt;
    }
}
