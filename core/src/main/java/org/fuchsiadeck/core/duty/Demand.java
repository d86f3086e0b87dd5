package org.fuchsiadeck.core.duty;

import java.util.OptionalDouble;

/**
 * What callers ask of a service at a time, whether it is served, refused or waits.
 *
 * <p>Answers requests whose sizes differ by orders of magnitude: a long prompt keeps a server at work for a fifth of a
 * second, a long answer keeps a slot for seconds and hardly costs it any work. Counted in attempts alone, a service of
 * long answers has several times the servers that it needs. Attempts in progress also shrink when servers are missing,
 * while the requests and their time do not.
 *
 * @param requestsPerS requests of all callers a second
 * @param meanRequestMs the time that one takes from a server on average, in milliseconds; empty if it is not known yet
 * @param attemptsInProgress attempts in progress at all servers
 * @param slotsPerServer requests that a server works on at a time
 * @param servers servers there are
 */
record Demand(
        double requestsPerS, OptionalDouble meanRequestMs, int attemptsInProgress, int slotsPerServer, int servers) {
    /**
     * Part of its time that a server may be at work. In a queue with random arrivals a request then waits for two thirds of
     * the mean time of service: 0.4 / (1 - 0.4).
     */
    private static final double BUSY_TIME = 0.4;

    /**
     * Part of a server's slots that may be taken; with all of them taken, requests wait in the server. Of 48 slots 34 are
     * taken on average, and 48 is more than two standard deviations of a random count above that.
     */
    private static final double BUSY_SLOTS = 0.7;

    /** Attempts in progress that a server carries whatever they are, while the time that they take is not known yet. */
    static final int ATTEMPTS_PER_SERVER = 4;

    /** By how much attempts in progress may ask for more servers than there are: what is beyond it only waits. */
    private static final double MOST_GROWTH = 2;

    private static final double MS_PER_SECOND = 1_000;

    /**
     * Returns the servers that answer all of it within the callers' expectation.
     *
     * @return the number of servers, with its fraction
     */
    double serversNeeded() {
        // What is beyond the slots of the servers came of missing servers.
        double taken = Math.min(attemptsInProgress, (double) servers * slotsPerServer);
        double bySlots = taken / (slotsPerServer * BUSY_SLOTS);
        double byTime = meanRequestMs.isPresent()
                ? requestsPerS * meanRequestMs.getAsDouble() / MS_PER_SECOND / BUSY_TIME
                : Math.min(taken, MOST_GROWTH * ATTEMPTS_PER_SERVER * servers) / ATTEMPTS_PER_SERVER;
        return Math.max(bySlots, byTime);
    }
}
