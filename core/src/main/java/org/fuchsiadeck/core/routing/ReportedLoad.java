package org.fuchsiadeck.core.routing;

import org.fuchsiadeck.core.model.BackendReport;

/**
 * The requests that a backend server had from elsewhere than this node, according to its last load report.
 *
 * @param others running and queued requests that are not this node's, when the figures were taken
 * @param atMs when the figures were taken, in milliseconds
 */
public record ReportedLoad(int others, long atMs) {
    /** The load of a server that has not reported any. */
    public static final ReportedLoad NONE = new ReportedLoad(0, 0);

    /** Age at which a report no longer counts, in milliseconds. */
    private static final double STALE_MS = 5_000;

    /**
     * Derives the load that is not this node's from a report.
     *
     * @param load the reported load of the server
     * @param own this node's requests in progress at the server
     * @param nowMs when the report arrived, in milliseconds
     * @return the load that is not this node's
     */
    public static ReportedLoad of(BackendReport.Load load, int own, long nowMs) {
        int all = load.running() + load.queued();
        return new ReportedLoad(Math.max(0, all - own), nowMs - Math.max(0, load.ageMs()));
    }

    /**
     * Estimates the current number of requests that are not this node's. The weight of the reported number decreases
     * linearly with its age, to 0 after 5 s.
     *
     * @param nowMs the time, in milliseconds
     * @return the estimated number of requests
     */
    public double estimate(long nowMs) {
        double freshness = 1 - (nowMs - atMs) / STALE_MS;
        return others * Math.max(0, freshness);
    }
}
