package org.fuchsiadeck.core.rollout;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * Histogram of durations with exponential buckets: the upper bound of each bucket is 1.25 times that of the one below.
 *
 * @param counts durations by bucket, without empty buckets
 */
public record Histogram(SortedMap<Integer, Long> counts) {
    /** A histogram without durations. */
    public static final Histogram EMPTY = new Histogram(TreeMap.empty());

    private static final double GROWTH = 1.25;

    /**
     * Returns the histogram with a duration added.
     *
     * @param ms the duration, in milliseconds
     * @return the new histogram
     */
    public Histogram withDuration(double ms) {
        return new Histogram(counts.put(bucket(ms), 1L, Long::sum));
    }

    /**
     * Returns the histogram with the durations of another one added.
     *
     * @param other the other histogram
     * @return the new histogram
     */
    public Histogram plus(Histogram other) {
        return new Histogram(counts.merge(other.counts, Long::sum));
    }

    /**
     * Returns the number of durations.
     *
     * @return the count
     */
    public long count() {
        return counts.values().sum().longValue();
    }

    /**
     * Returns the number of durations above a bucket.
     *
     * @param bucket the bucket
     * @return the count
     */
    long countAbove(int bucket) {
        return counts.filterKeys(b -> b > bucket).values().sum().longValue();
    }

    /**
     * Returns the lowest bucket with at most the given share of the durations above it.
     *
     * @param share the share, 0 to 1
     * @return the bucket
     */
    int upperQuantileBucket(double share) {
        long allowed = (long) (count() * share);
        long above = count();
        for (int bucket : counts.keySet()) {
            above -= counts.get(bucket).get();
            if (above <= allowed) {
                return bucket;
            }
        }
        return 0;
    }

    /**
     * Returns a duration that at most the given share of the durations exceed.
     *
     * @param share the share, 0 to 1
     * @return the upper bound of the bucket, in milliseconds
     */
    public double upperQuantileMs(double share) {
        return upperBoundMs(upperQuantileBucket(share));
    }

    /** Returns the upper bound of a bucket, in milliseconds. */
    static double upperBoundMs(int bucket) {
        return Math.pow(GROWTH, bucket + 1);
    }

    private static int bucket(double ms) {
        return (int) Math.floor(Math.log(Math.max(1, ms)) / Math.log(GROWTH));
    }
}
