package org.fuchsiadeck.core.share;

import io.vavr.collection.Queue;

/**
 * An immutable count over a sliding window, kept in buckets of fixed length.
 *
 * @param buckets the buckets, the oldest first; intervals without counts have none
 * @param total the sum over all buckets
 */
public record SlidingWindowCounter(Queue<Bucket> buckets, long total) {
    static final SlidingWindowCounter EMPTY = new SlidingWindowCounter(Queue.empty(), 0);

    /** The length of a bucket; short compared with the windows, which last seconds. */
    private static final long BUCKET_MS = 100;

    /**
     * The amount counted in one interval.
     *
     * @param startMs the start of the interval, in milliseconds
     * @param amount the amount
     */
    public record Bucket(long startMs, long amount) {}

    SlidingWindowCounter plus(long nowMs, long amount) {
        long start = nowMs - Math.floorMod(nowMs, BUCKET_MS);
        if (!buckets.isEmpty() && buckets.last().startMs() == start) {
            Bucket last = new Bucket(start, buckets.last().amount() + amount);
            return new SlidingWindowCounter(buckets.init().enqueue(last), total + amount);
        }
        return new SlidingWindowCounter(buckets.enqueue(new Bucket(start, amount)), total + amount);
    }

    /** Drops the buckets that ended at or before a time. */
    SlidingWindowCounter since(long fromMs) {
        SlidingWindowCounter remaining = this;
        while (!remaining.buckets.isEmpty() && remaining.buckets.head().startMs() + BUCKET_MS <= fromMs) {
            remaining = new SlidingWindowCounter(
                    remaining.buckets.tail(),
                    remaining.total - remaining.buckets.head().amount());
        }
        return remaining;
    }
}
