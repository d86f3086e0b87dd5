package org.fuchsiadeck.core.speed;

import java.util.OptionalDouble;

import org.fuchsiadeck.core.model.EngineTime;

/**
 * The linear fit of a service's time to first byte: base + unread prompt tokens / rate, from decayed sums.
 *
 * @param count the number of attempts
 * @param tokens the sum of unread prompt tokens
 * @param ms the sum of times, in milliseconds
 * @param tokensSquared the sum of squared tokens
 * @param tokensMs the sum of the products of tokens and times
 * @param msSquared the sum of squared times
 * @param atMs the time to which the sums are decayed, in milliseconds
 */
public record TimeFit(
        double count, double tokens, double ms, double tokensSquared, double tokensMs, double msSquared, long atMs) {
    /** The fit of a service without observations. */
    public static final TimeFit NONE = new TimeFit(0, 0, 0, 0, 0, 0, 0);

    /** Attempts without which nothing is derived from the fit. */
    private static final int MIN_ATTEMPTS = 20;

    /** Standard deviation of the tokens below which prompts are too equal for a slope. */
    private static final double MIN_DEVIATION_TOKENS = 100;

    /** Least slope in standard errors; the rate is then known to about a quarter. */
    private static final double MIN_SLOPE_ERRORS = 4;

    /** Bound of the ratio of the fitted rate and the standard one, either way. */
    private static final double MAX_RATE_RATIO = 4;

    /** Bound of the ratio of one observation and its expected time, either way: outliers are stalls, not speed. */
    private static final double MAX_TIME_RATIO = 4;

    /** Longest time that is taken into account before the expected time is known, in milliseconds. */
    private static final double MAX_FIRST_MS = 10_000;

    /**
     * Adds an attempt.
     *
     * @param unread the unread prompt tokens of the attempt
     * @param tookMs its time to first byte, in milliseconds
     * @param nowMs the time, in milliseconds
     * @return the updated fit
     */
    public TimeFit with(int unread, double tookMs, long nowMs) {
        double y = bounded(unread, tookMs);
        double f = Decay.factor(nowMs - atMs);
        return new TimeFit(
                count * f + 1,
                tokens * f + unread,
                ms * f + y,
                tokensSquared * f + (double) unread * unread,
                tokensMs * f + unread * y,
                msSquared * f + y * y,
                nowMs);
    }

    /**
     * Bounds an observed time by the expected one.
     *
     * @param unread the unread prompt tokens of the attempt
     * @param tookMs its time to first byte, in milliseconds
     * @return the time, in milliseconds, within a quarter and four times the expected time
     */
    double bounded(int unread, double tookMs) {
        if (!isKnown()) {
            return Math.min(MAX_FIRST_MS, tookMs);
        }
        double expected = expectedMs(unread);
        return Math.max(expected / MAX_TIME_RATIO, Math.min(expected * MAX_TIME_RATIO, tookMs));
    }

    /**
     * Returns whether there are enough observations for an expected time.
     *
     * @return whether the expected time is known
     */
    public boolean isKnown() {
        return count >= MIN_ATTEMPTS && ms > 0;
    }

    /**
     * Returns the rate at which the service's servers process prompts.
     *
     * @return tokens per millisecond; empty without enough evidence
     */
    public OptionalDouble tokensPerMs() {
        double variance = tokensSquared - tokens * tokens / count;
        if (!isKnown() || variance < count * MIN_DEVIATION_TOKENS * MIN_DEVIATION_TOKENS) {
            return OptionalDouble.empty();
        }
        double covariance = tokensMs - tokens * ms / count;
        double slope = covariance / variance;
        double residual = Math.max(0, msSquared - ms * ms / count - slope * covariance);
        double error = Math.sqrt(residual / (count - 2) / variance);
        if (slope <= 0 || slope < MIN_SLOPE_ERRORS * error) {
            return OptionalDouble.empty();
        }
        double standard = EngineTime.PREFILL_TOKENS_PER_MS;
        return OptionalDouble.of(Math.max(standard / MAX_RATE_RATIO, Math.min(standard * MAX_RATE_RATIO, 1 / slope)));
    }

    /**
     * Returns the time to first byte without unread tokens.
     *
     * @return the time, in milliseconds; 0 without enough evidence
     */
    public double baseMs() {
        return isKnown() ? Math.max(0, (ms - tokens / rate()) / count) : 0;
    }

    /**
     * Returns the expected time to first byte on the service's usual server when it is nearly idle.
     *
     * @param unread the unread prompt tokens
     * @return the time, in milliseconds
     */
    public double expectedMs(int unread) {
        return baseMs() + unread / rate();
    }

    /**
     * Returns the mean time to first byte.
     *
     * @param unknownMs the result if there is not enough evidence
     * @return the time, in milliseconds
     */
    double meanMs(double unknownMs) {
        return isKnown() ? ms / count : unknownMs;
    }

    private double rate() {
        return tokensPerMs().orElse(EngineTime.PREFILL_TOKENS_PER_MS);
    }
}
