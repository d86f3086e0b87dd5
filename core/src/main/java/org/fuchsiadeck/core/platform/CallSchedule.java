package org.fuchsiadeck.core.platform;

import org.fuchsiadeck.core.View;

/**
 * Decides how often a node calls the platform's service. Calls are priced and limited for the fleet as a whole, so in a
 * large fleet one node of each availability zone watches with a short wait, and the others with a long one: reports of
 * their peers show them when they have missed a change.
 */
public final class CallSchedule {
    /** Size of a fleet, in nodes, up to which every node watches with a short wait. */
    private static final int SMALL_FLEET = 16;

    /** Wait of a watch on nodes that rely on their peers' reports. */
    private static final long LONG_WATCH_WAIT_MS = 30_000;

    /** Ticks of all reducers fall on multiples of this interval, so that an idle node wakes up seldom. */
    private static final long TICK_INTERVAL_MS = 250;

    /** A node without a configuration starts its other work after this time, many times what reading one takes. */
    private static final long MAX_STARTUP_MS = 1_000;

    private CallSchedule() {}

    /**
     * Returns whether a node is starting and reads only what requests need: the configuration and the list of backend
     * servers. The list of nodes, its own entry and its duties follow later, so that callers wait less.
     *
     * @param view the state of the node
     * @return whether all other work is to wait
     */
    public static boolean isStarting(View view) {
        return view.config().revision() == 0 && view.nowMs() < MAX_STARTUP_MS;
    }

    /**
     * Returns how long a watch waits for a change.
     *
     * @param view the state of the node
     * @param shortWaitMs the wait on a node that polls often, in milliseconds
     * @return the wait, in milliseconds
     */
    public static long watchWaitMs(View view, long shortWaitMs) {
        return pollsOften(view) ? shortWaitMs : LONG_WATCH_WAIT_MS;
    }

    /**
     * Returns the time of the next tick, which all reducers share.
     *
     * @param nowMs the current time, in milliseconds
     * @return the time, in milliseconds
     */
    public static long nextTickMs(long nowMs) {
        return (nowMs / TICK_INTERVAL_MS + 1) * TICK_INTERVAL_MS;
    }

    private static boolean pollsOften(View view) {
        return view.peers().alive().size() < SMALL_FLEET || view.peers().rankInZone(view.self()) == 0;
    }
}
