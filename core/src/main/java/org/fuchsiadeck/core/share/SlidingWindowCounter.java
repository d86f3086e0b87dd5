package org.fuchsiadeck.core.share;

import io.vavr.collection.Queue;

/**
 * A count over a sliding window, kept in buckets.
 *
 * @param buckets the buckets, the oldest first
 * @param total the sum of the buckets
 */
public record SlidingWindowCounter(Queue<Bucket> buckets, long total) {
    static final SlidingWindowCounter EMPTY = new SlidingWindowCounter(Queue.empty(), 0);

    /** Small against the windows, which are seconds long. */
    private static final long BUCKET_MS = 100;

    /**
     * What was counted in a short time.
     *
     * @param startMs when the time began, in milliseconds
     * @param amount the sum
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

    SlidingWindowCounter since(long fromMs) {
        SlidingWindowCounter left = this;
        while (!left.buckets.isEmpty() && left.buckets.head().startMs() + BUCKET_MS <= fromMs) {
            left = new SlidingWindowCounter(
                    left.buckets.tail(), left.total - left.buckets.head().amount());
        }
        return left;
    }
}
