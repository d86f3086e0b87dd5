package org.fuchsiadeck.node;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Runs chores at fixed intervals, or once after a delay, on one thread.
 */
final class Housekeeping implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Housekeeping.class);

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "housekeeping"));

    void every(long intervalMs, Runnable chore) {
        executor.scheduleWithFixedDelay(() -> run(chore), 0, intervalMs, TimeUnit.MILLISECONDS);
    }

    void after(long delayMs, Runnable chore) {
        executor.schedule(() -> run(chore), delayMs, TimeUnit.MILLISECONDS);
    }

    private static void run(Runnable chore) {
        try {
            chore.run();
        } catch (RuntimeException e) {
            LOG.error("a chore failed", e);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
