package org.fuchsiadeck.core.duty;

import java.util.OptionalDouble;

/**
 * Current demand on a service, from which the number of backend servers it needs is estimated. It includes requests
 * that are refused or queued.
 *
 * <p>Requests differ in size by orders of magnitude: a long prompt occupies a server for a fifth of a second, while a
 * long answer occupies a slot for seconds and costs the server hardly any work. An estimate from attempts alone would
 * give a service with long answers several times the servers that it needs. Attempts in progress also drop when servers
 * are missing, while the request rate and the time per request do not.
 *
 * @param requestsPerS requests of all callers per second
 * @param meanRequestMs the mean working time of a server per request, in milliseconds; empty if not known yet
 * @param attemptsInProgress attempts in progress at all servers
 * @param slotsPerServer the number of requests that a server processes concurrently
 * @param servers the number of existing servers
 * @param meanSpeed the mean speed of the existing servers; 1 is the usual speed
 */
record Demand(
        double requestsPerS,
        OptionalDouble meanRequestMs,
        int attemptsInProgress,
        int slotsPerServer,
        int servers,
        double meanSpeed) {
    /**
     * Maximum fraction of time in which a server is busy. In a queue with random arrivals a request then waits for two
     * thirds of the mean service time: 0.4 / (1 - 0.4).
     */
    private static final double MAX_BUSY_TIME = 0.4;

    /**
     * Maximum fraction of a server's slots in use on average; when all are in use, requests queue in the server. Of 48
     * slots 34 are then in use on average, and 48 is more than two standard deviations of a random count above that.
     */
    private static final double MAX_BUSY_SLOTS = 0.7;

    /** Attempts in progress for which one server is enough while the time per request is not known yet. */
    static final int ATTEMPTS_PER_SERVER = 4;

    /** Maximum ratio of needed to existing servers by attempts in progress: attempts beyond it only queue. */
    private static final double MAX_GROWTH = 2;

    private static final double MS_PER_SECOND = 1_000;

    /** Creates the demand on servers of the usual speed. */
    Demand(double requestsPerS, OptionalDouble meanRequestMs, int attemptsInProgress, int slotsPerServer, int servers) {
        this(requestsPerS, meanRequestMs, attemptsInProgress, slotsPerServer, servers, 1);
    }

    /**
     * Returns the number of servers that serve the demand within the latency that callers expect.
     *
     * @return the number of servers, not rounded
     */
    double serversNeeded() {
        // Attempts beyond the slots of the existing servers are a result of missing servers.
        double usedSlots = Math.min(attemptsInProgress, (double) servers * slotsPerServer);
        double bySlots = usedSlots / (slotsPerServer * MAX_BUSY_SLOTS);
        double byTime = meanRequestMs.isPresent()
                ? requestsPerS * meanRequestMs.getAsDouble() / MS_PER_SECOND / MAX_BUSY_TIME / meanSpeed
                : Math.min(usedSlots, MAX_GROWTH * ATTEMPTS_PER_SERVER * servers) / ATTEMPTS_PER_SERVER;
        return Math.max(bySlots, byTime);
    }
}
