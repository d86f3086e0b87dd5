package org.fuchsiadeck.node.testing;

import java.util.concurrent.Callable;

/** Waits for conditions. */
public final class Await {
    private static final long LIMIT_MS = 60_000;
    private static final long STEP_MS = 5;

    private Await() {}

    public static void until(String what, Callable<Boolean> condition) throws Exception {
        long end = System.currentTimeMillis() + LIMIT_MS;
        while (!condition.call()) {
            if (System.currentTimeMillis() > end) {
                throw new AssertionError("never happened: " + what);
            }
            Thread.sleep(STEP_MS);
        }
    }
}
