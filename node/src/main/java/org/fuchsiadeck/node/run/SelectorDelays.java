package org.fuchsiadeck.node.run;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.jboss.logging.Logger;

/**
 * Measures how late the selector threads of connections run. A task is due on each of them at known times. A task that
 * runs late shows since when at the earliest the data waits that the thread reads after it.
 */
public final class SelectorDelays implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SelectorDelays.class);

    /**
     * Time between two tasks, in milliseconds. A delay that exceeds the limit by this much is always noticed, well within
     * the 0.5 s in which a request may still be sent after its caller has left; each task wakes an idle selector thread.
     */
    private static final long INTERVAL_MS = 200;

    private final Map<SelectorRunner, Probe> probes = new ConcurrentHashMap<>();
    private final RecentDelay recent = new RecentDelay();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(this::newThread);

    /** Starts to measure the threads that are passed to {@link #watch}. */
    public SelectorDelays() {
        timer.scheduleWithFixedDelay(this::enqueueTasks, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private Thread newThread(Runnable action) {
        Thread thread = new Thread(action, "selector-delays");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Measures the selector thread of a connection from now on.
     *
     * @param connection the connection
     */
    public void watch(Connection<?> connection) {
        probeOf(connection);
    }

    /**
     * Returns whether a selector thread runs later than {@link RecentDelay#BEHIND_MS}, now or a short time ago.
     *
     * @return whether one is behind
     */
    public boolean isBehind() {
        return recent.isBehind() || probes.values().stream().anyMatch(p -> p.delayMs() > RecentDelay.BEHIND_MS);
    }

    /**
     * Returns for how long data may have waited that is read from a connection now. Must be called on its selector thread.
     *
     * @param connection the connection
     * @return the time in milliseconds; 0 if the thread is not behind
     */
    public long readDelayMs(Connection<?> connection) {
        long delayMs = probeOf(connection).delayMs();
        return delayMs > RecentDelay.BEHIND_MS ? delayMs : 0;
    }

    private Probe probeOf(Connection<?> connection) {
        NIOConnection nio = (NIOConnection) connection;
        NIOTransport transport = (NIOTransport) nio.getTransport();
        return probes.computeIfAbsent(nio.getSelectorRunner(), r -> new Probe(transport, r));
    }

    private void enqueueTasks() {
        try {
            probes.values().forEach(Probe::enqueue);
        } catch (RuntimeException e) {
            LOG.error("the delay of the selector threads was not measured", e);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private static long toMs(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** The tasks of one selector thread. */
    private final class Probe {
        private final NIOTransport transport;
        private final SelectorRunner runner;
        private volatile boolean queued;
        private volatile long dueNanos = nextDueNanos();
        private volatile long measuredMs;

        Probe(NIOTransport transport, SelectorRunner runner) {
            this.transport = transport;
            this.runner = runner;
        }

        void enqueue() {
            if (!queued) {
                queued = true;
                SelectorTasks.run(transport, runner, this::measure);
            }
        }

        /** Runs on the selector thread. After a long delay a second task ends it, after the reads that it concerns. */
        private void measure() {
            long delayMs = toMs(System.nanoTime() - dueNanos);
            recent.record(delayMs);
            boolean behind = delayMs > RecentDelay.BEHIND_MS;
            measuredMs = behind ? delayMs : 0;
            dueNanos = behind ? System.nanoTime() : nextDueNanos();
            queued = behind;
            if (behind) {
                SelectorTasks.run(transport, runner, this::measure);
            }
        }

        /** Returns the delay of the reads in progress, and for how long the next task is overdue, in milliseconds. */
        long delayMs() {
            return measuredMs + Math.max(0, toMs(System.nanoTime() - dueNanos));
        }

        private static long nextDueNanos() {
            return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);
        }
    }
}
