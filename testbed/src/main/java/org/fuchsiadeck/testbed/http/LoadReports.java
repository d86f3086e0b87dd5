package org.fuchsiadeck.testbed.http;

import java.util.function.IntSupplier;

import static java.util.Objects.requireNonNull;

/**
 * Reports of load, taken anew only when the last one has reached a given age.
 */
public final class LoadReports {
    private static final long NANOS_PER_MS = 1_000_000;

    private final long maxAgeMs;

    private final IntSupplier running;

    private final IntSupplier queued;

    private int lastRunning;

    private int lastQueued;

    private long takenNs;

    /**
     * Makes reports.
     *
     * @param maxAgeMs how old a report gets before it is taken anew, in milliseconds
     * @param running counts the requests that run
     * @param queued counts the requests that wait
     */
    public LoadReports(long maxAgeMs, IntSupplier running, IntSupplier queued) {
        this.maxAgeMs = maxAgeMs;
        this.running = requireNonNull(running, "running");
        this.queued = requireNonNull(queued, "queued");
        this.takenNs = System.nanoTime() - maxAgeMs * NANOS_PER_MS;
    }

    /**
     * Gives the last report.
     *
     * @param leaving whether the server is leaving
     * @param version the server's version
     * @return the report
     */
    public synchronized Load now(boolean leaving, String version) {
        long ageMs = (System.nanoTime() - takenNs) / NANOS_PER_MS;
        if (ageMs >= maxAgeMs) {
            lastRunning = running.getAsInt();
            lastQueued = queued.getAsInt();
            takenNs = System.nanoTime();
            ageMs = 0;
        }
        return new Load(lastRunning, lastQueued, ageMs, leaving, version);
    }

    /**
     * A report of load.
     *
     * @param running requests that run
     * @param queued requests that wait
     * @param ageMs how old the figures are, in milliseconds
     * @param leaving whether the server is leaving
     * @param version the server's version
     */
    public record Load(int running, int queued, long ageMs, boolean leaving, String version) {
        /**
         * Gives the value of the header {@code X-Load}.
         *
         * @return the report without the version
         */
        public String header() {
            return "running=" + running + ";queued=" + queued + ";age_ms=" + ageMs + ";leaving=" + (leaving ? 1 : 0);
        }
    }
}
