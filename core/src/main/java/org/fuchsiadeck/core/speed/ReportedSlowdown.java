package org.fuchsiadeck.core.speed;

import org.fuchsiadeck.core.model.BackendReport;

/**
 * The slowdown that a server last reported. It changes many times per second, so that its weight decreases linearly to
 * zero within half a second.
 *
 * @param factor how long work took at the time of the report, relative to the server's usual time
 * @param atMs when the report was taken, in milliseconds
 */
public record ReportedSlowdown(double factor, long atMs) {
    /** The age at which a report has no weight, in milliseconds. */
    public static final long MAX_AGE_MS = 500;

    /** Least slowdown that is believed: a server that reports less would attract most requests. */
    private static final double MIN_FACTOR = 0.8;

    /** Greatest slowdown that is believed; other work on the machine makes requests take up to 2.5 times as long. */
    private static final double MAX_FACTOR = 4;

    public ReportedSlowdown {
        factor = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
    }

    static ReportedSlowdown of(BackendReport.Load load, long nowMs) {
        return new ReportedSlowdown(load.slowdown().orElse(1), nowMs - Math.max(0, load.ageMs()));
    }

    /**
     * Returns the present slowdown according to the report.
     *
     * @param nowMs the time, in milliseconds
     * @return the factor; 1 from 500 ms after the report
     */
    public double at(long nowMs) {
        double age = Math.max(0, nowMs - atMs);
        return 1 + (factor - 1) * Math.max(0, 1 - age / MAX_AGE_MS);
    }
}
