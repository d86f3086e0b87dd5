package org.fuchsiadeck.testbed;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits on conditions in tests. */
public final class Until {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final long PAUSE_NS = 1_000_000;

    private Until() {}

    /** Waits until a condition holds, and fails if it does not within the timeout. */
    public static void isTrue(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition did not come to hold within " + TIMEOUT);
            }
            LockSupport.parkNanos(PAUSE_NS);
        }
    }
}
