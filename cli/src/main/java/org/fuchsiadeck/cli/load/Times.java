package org.fuchsiadeck.cli.load;

import java.util.Collection;
import java.util.function.ToLongFunction;

import org.HdrHistogram.Histogram;

/**
 * Distributions over results.
 */
final class Times {
    private static final int DIGITS = 3;
    private static final long NS_PER_US = 1_000;

    private Times() {}

    /** Returns the distribution of a time in nanoseconds; zero means that there was none. */
    static Quantiles of(Collection<Result> results, ToLongFunction<Result> ns) {
        Histogram us = new Histogram(DIGITS);
        results.stream().mapToLong(ns).filter(n -> n > 0).forEach(n -> us.recordValue(n / NS_PER_US));
        return Quantiles.ofMicros(us);
    }
}
