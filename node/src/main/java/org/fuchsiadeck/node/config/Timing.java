package org.fuchsiadeck.node.config;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import static java.util.Objects.requireNonNull;

/**
 * The clocks and the pause of calls that wait.
 *
 * @param wallMs the wall-clock time, in milliseconds since 1970
 * @param nowMs the monotonic time, in milliseconds
 * @param sleepMs waits for some milliseconds
 */
public record Timing(LongSupplier wallMs, LongSupplier nowMs, LongConsumer sleepMs) {
    private static final long NANOS_PER_MS = 1_000_000;

    public Timing {
        requireNonNull(wallMs, "wallMs");
        requireNonNull(nowMs, "nowMs");
        requireNonNull(sleepMs, "sleepMs");
    }

    /**
     * Returns the clocks of this machine.
     *
     * @return the clocks
     */
    public static Timing system() {
        return new Timing(System::currentTimeMillis, () -> System.nanoTime() / NANOS_PER_MS, Timing::sleep);
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
