package org.fuchsiadeck.cli.load;

import org.HdrHistogram.AbstractHistogram;

/**
 * A distribution of times, in milliseconds.
 *
 * @param count how many times there are
 * @param p50 the median
 * @param p95 the 95th percentile
 * @param p99 the 99th percentile
 * @param max the longest
 */
record Quantiles(long count, double p50, double p95, double p99, double max) {
    private static final double US_PER_MS = 1_000;

    static Quantiles ofMicros(AbstractHistogram us) {
        return new Quantiles(
                us.getTotalCount(),
                us.getValueAtPercentile(50) / US_PER_MS,
                us.getValueAtPercentile(95) / US_PER_MS,
                us.getValueAtPercentile(99) / US_PER_MS,
                us.getMaxValue() / US_PER_MS);
    }
}
