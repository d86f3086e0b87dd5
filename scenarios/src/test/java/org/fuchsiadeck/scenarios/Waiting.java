package org.fuchsiadeck.scenarios;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions. */
final class Waiting {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final long PAUSE_MS = 20;

    private Waiting() {}

    static void until(String what, Callable<Boolean> condition) {
        long end = System.nanoTime() + LIMIT.toNanos();
        Exception last = null;
        while (System.nanoTime() < end) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (Exception e) {
                last = e;
            }
            pause();
        }
        throw new AssertionError("waited " + LIMIT.toSeconds() + " s in vain: " + what, last);
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
