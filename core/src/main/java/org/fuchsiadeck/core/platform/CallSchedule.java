package org.fuchsiadeck.core.platform;

import org.fuchsiadeck.core.View;

/**
 * How closely a node follows the platform's service. Calls are priced and bounded for the fleet as a whole, so in a large
 * fleet one node of each availability zone asks often, and the others ask seldom: they learn from reports that they have
 * missed a change.
 */
public final class CallSchedule {
    /** Up to this size all nodes follow closely. */
    private static final int SMALL_FLEET = 16;

    /** The longest wait that the service is asked for. */
    private static final long LONG_WAIT_MS = 30_000;

    /** Ticks of all concerns fall together, so that a node at rest wakes up seldom. */
    private static final long BEAT_MS = 250;

    /** A node that has no configuration yet goes on with the rest after this time: many times what reading it takes. */
    private static final long LATEST_REST_MS = 1_000;

    private CallSchedule() {}

    /**
     * Tells whether a node that has started reads what its requests need and nothing else: the configuration and the
     * servers. Its peers, its own entry and its duties come after them, so that callers wait less.
     *
     * @param view the node
     * @return whether the rest is to wait
     */
    public static boolean isStarting(View view) {
        return view.config().revision() == 0 && view.nowMs() < LATEST_REST_MS;
    }

    /**
     * Returns how long a watch is to wait.
     *
     * @param view the node
     * @param closeMs how long the wait of a node is that follows closely, in milliseconds
     * @return the wait, in milliseconds
     */
    public static long watchWaitMs(View view, long closeMs) {
        return follows(view) ? closeMs : LONG_WAIT_MS;
    }

    /**
     * Returns when the next regular work of a node is due.
     *
     * @param nowMs the time, in milliseconds
     * @return the time of the next beat, which all concerns share, in milliseconds
     */
    public static long nextTickMs(long nowMs) {
        return (nowMs / BEAT_MS + 1) * BEAT_MS;
    }

    private static boolean follows(View view) {
        return view.peers().alive().size() < SMALL_FLEET || view.peers().rankInZone(view.self()) == 0;
    }
}
