package org.fuchsiadeck.testbed.engine;

import static java.util.Objects.requireNonNull;

/**
 * How a version is bad. A request that meets every condition shows the fault.
 *
 * @param version the version
 * @param kind what goes wrong
 * @param afterRequests how many requests of the version run well first
 * @param aboveRunning the fault shows only while more requests than this run; 0 for any load
 * @param route the fault shows only on this route, as the header {@code X-Route} names it; null for any
 * @param probability the share of the matching requests that show the fault, 0 for all
 * @param atToken how many tokens a failing or cut answer gives first; 0 fails with a status
 * @param delayMs how long a slow answer takes for each token, in milliseconds
 * @param wrongId whether a wrong answer bears another request's id rather than another's tokens
 */
public record VersionFault(
        String version,
        Kind kind,
        int afterRequests,
        int aboveRunning,
        String route,
        double probability,
        int atToken,
        long delayMs,
        boolean wrongId) {
    private static final long DELAY_MS = 200;

    public VersionFault {
        requireNonNull(version, "version");
        requireNonNull(kind, "kind");
        probability = probability == 0 ? 1 : probability;
        delayMs = delayMs == 0 ? DELAY_MS : delayMs;
    }

    /**
     * Gives a fault that every request of a version shows.
     *
     * @param version the version
     * @param kind what goes wrong
     * @return the fault
     */
    public static VersionFault always(String version, Kind kind) {
        return new VersionFault(version, kind, 0, 0, null, 0, 0, 0, false);
    }

    /** What goes wrong. */
    public enum Kind {
        /** The answer fails: status 500, or an error event after some tokens. */
        FAIL,
        /** Each token takes longer. */
        SLOW,
        /** The stream ends without its last event. */
        CUT,
        /** The answer is another request's. */
        WRONG
    }
}
