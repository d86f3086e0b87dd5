package org.fuchsiadeck.node.exchange;

import java.util.concurrent.TimeUnit;

/**
 * When a stream's progress is reported to the decisions: now and then, not for each token. Guarded by its exchange.
 */
final class Progress {
    private static final int TOKENS = 64;
    private static final long NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private int reported;
    private long reportedNanos = System.nanoTime() - NANOS;

    boolean isDue(int delivered) {
        return delivered - reported >= TOKENS || System.nanoTime() - reportedNanos >= NANOS;
    }

    boolean isBehind(int delivered) {
        return delivered > reported;
    }

    void reported(int delivered) {
        reported = delivered;
        reportedNanos = System.nanoTime();
    }

    boolean unreported(int delivered) {
        return delivered > reported;
    }
}
