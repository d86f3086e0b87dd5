package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.request.AttemptObserved;

/**
 * What was seen of one version on one route at one load.
 *
 * @param good whole answers
 * @param failed errors, timeouts and closed connections
 * @param corrupt wrong or cut answers
 * @param firstByte times to the first byte of the answer
 * @param perToken times between tokens
 */
public record Tally(long good, long failed, long corrupt, Histogram firstByte, Histogram perToken) {
    /** Nothing seen. */
    public static final Tally EMPTY = new Tally(0, 0, 0, Histogram.EMPTY, Histogram.EMPTY);

    /**
     * Returns the tally with an attempt added.
     *
     * @param seen the attempt
     * @return the new tally
     */
    public Tally withAttempt(AttemptObserved seen) {
        Histogram first = seen.firstByteMs() < 0 ? firstByte : firstByte.withDuration(seen.firstByteMs());
        Histogram token = seen.perTokenMs() < 0 ? perToken : perToken.withDuration(seen.perTokenMs());
        return switch (seen.verdict()) {
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
     * Returns how many attempts were seen.
     *
     * @return the count
     */
    public long count() {
        return good + failed + corrupt;
    }

    /**
     * Returns how many attempts gave no whole answer.
     *
     * @return the count
     */
    public long bad() {
        return failed + corrupt;
    }
}
