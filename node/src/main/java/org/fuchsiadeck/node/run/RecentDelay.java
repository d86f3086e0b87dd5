package org.fuchsiadeck.node.run;

import java.util.concurrent.TimeUnit;

/**
 * Remembers for a short time that a thread ran late. A node whose processor time is limited runs in bursts, so that a
 * single measurement without a delay does not show that it has caught up.
 */
final class RecentDelay {
    /** Delay above which a thread is behind, in milliseconds. */
    static final long BEHIND_MS = 100;

    /** Time without a long delay after which a thread has caught up, in milliseconds. */
    private static final long HOLD_MS = 1_000;

    private volatile long untilNanos = System.nanoTime();

    /** Notes a delay in milliseconds. */
    void record(long delayMs) {
        if (delayMs > BEHIND_MS) {
            untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HOLD_MS);
        }
    }

    /** Returns whether a delay above {@link #BEHIND_MS} was noted a short time ago. */
    boolean isBehind() {
        return System.nanoTime() - untilNanos < 0;
    }
}
