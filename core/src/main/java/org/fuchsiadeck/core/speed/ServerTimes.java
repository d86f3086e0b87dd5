package org.fuchsiadeck.core.speed;

import org.fuchsiadeck.core.model.Checks;

/**
 * Sums of the observed and the expected times to first byte of attempts at one server. Sums of several nodes may be
 * added.
 *
 * @param observedMs the observed times, in milliseconds
 * @param expectedMs the times that the service's usual server would have taken, in milliseconds
 */
public record ServerTimes(double observedMs, double expectedMs) {
    /** The sums of a server without observations. */
    public static final ServerTimes NONE = new ServerTimes(0, 0);

    /** Least learned speed. A server that is slower is a matter of its health, not of its speed. */
    public static final double MIN_SPEED = 0.25;

    /** Greatest learned speed. */
    public static final double MAX_SPEED = 4;

    /** Attempts at the usual speed that are added to the observed ones, so that a few attempts change little. */
    private static final int PRIOR_ATTEMPTS = 20;

    public ServerTimes {
        Checks.finiteNotNegative(observedMs, "observedMs");
        Checks.finiteNotNegative(expectedMs, "expectedMs");
    }

    /**
     * Adds the sums of other attempts.
     *
     * @param other the other sums
     * @return the total
     */
    public ServerTimes plus(ServerTimes other) {
        return new ServerTimes(observedMs + other.observedMs, expectedMs + other.expectedMs);
    }

    /**
     * Scales both sums.
     *
     * @param factor the factor
     * @return the scaled sums
     */
    public ServerTimes scaled(double factor) {
        return new ServerTimes(observedMs * factor, expectedMs * factor);
    }

    /**
     * Returns the speed of the server. It is near 1 while there are few observations. Observed times contain waiting
     * behind requests that a node does not know of yet, at all servers; so it is the ratio to the same of all servers
     * that counts.
     *
     * @param all the sums of all servers of the service
     * @param meanMs the mean time of an attempt of the service, in milliseconds
     * @return the speed relative to the usual one, from 0.25 to 4
     */
    public double speed(ServerTimes all, double meanMs) {
        if (expectedMs == 0 || all.expectedMs == 0) {
            return 1;
        }
        double usualMs = expectedMs * all.observedMs / all.expectedMs;
        double priorMs = PRIOR_ATTEMPTS * meanMs;
        return Math.max(MIN_SPEED, Math.min(MAX_SPEED, (usualMs + priorMs) / (observedMs + priorMs)));
    }
}
