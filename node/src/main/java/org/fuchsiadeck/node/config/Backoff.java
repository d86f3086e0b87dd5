package org.fuchsiadeck.node.config;

import java.util.SplittableRandom;

/**
 * Growing pauses with full jitter, up to a limit in all.
 */
final class Backoff {
    private static final long BASE_MS = 100;
    private static final long MAX_MS = 2_000;
    private static final int MAX_DOUBLINGS = 10;

    private final Timing timing;
    private final long endMs;
    private final SplittableRandom random;
    private int failures;

    Backoff(Timing timing, long patienceMs) {
        this.timing = timing;
        this.endMs = timing.nowMs().getAsLong() + patienceMs;
        this.random = new SplittableRandom(timing.wallMs().getAsLong());
    }

    /** Waits before the next attempt. Returns false, at once, if the time is up. */
    boolean pause() {
        long left = endMs - timing.nowMs().getAsLong();
        if (left <= 0) {
            return false;
        }
        failures = Math.min(failures + 1, MAX_DOUBLINGS);
        long bound = Math.min(MAX_MS, BASE_MS << failures);
        timing.sleepMs().accept(Math.min(left, 1 + random.nextLong(bound)));
        return true;
    }
}
