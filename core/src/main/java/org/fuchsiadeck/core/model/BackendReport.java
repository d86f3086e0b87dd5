package org.fuchsiadeck.core.model;

import java.util.Optional;
import java.util.OptionalDouble;

import static java.util.Objects.requireNonNull;

/**
 * The load and availability that a backend server reports in the headers of an answer.
 *
 * @param load its current load; empty if not reported
 * @param leaving whether the server reports that it is leaving
 * @param pauseMs how long it asks this node to send no requests, in milliseconds; 0 if it does not ask for a pause
 * @param limitPerSecond the requests per second that it accepts from all nodes together; empty if it names no limit
 */
public record BackendReport(Optional<Load> load, boolean leaving, long pauseMs, OptionalDouble limitPerSecond) {
    /** Longest pause that a server can ask for, in milliseconds. After ten minutes it has restarted or left. */
    public static final long MAX_PAUSE_MS = 600_000;

    public BackendReport {
        requireNonNull(load, "load");
        Checks.inRange(pauseMs, 0, MAX_PAUSE_MS, "pauseMs");
        limitPerSecond.ifPresent(l -> Checks.finiteNotNegative(l, "limitPerSecond"));
    }

    /**
     * Creates the report of a server that names no limit.
     *
     * @param load its current load; empty if not reported
     * @param leaving whether the server reports that it is leaving
     * @param pauseMs how long it asks this node to send no requests, in milliseconds
     */
    public BackendReport(Optional<Load> load, boolean leaving, long pauseMs) {
        this(load, leaving, pauseMs, OptionalDouble.empty());
    }

    /**
     * Creates the report of a server that does not ask for a pause.
     *
     * @param running the number of requests that it is processing
     * @param queued the number of requests in its queue
     * @param ageMs the age of the figures when the server sent them, in milliseconds
     * @param leaving whether the server reports that it is leaving
     */
    public BackendReport(int running, int queued, long ageMs, boolean leaving) {
        this(Optional.of(new Load(running, queued, ageMs)), leaving, 0);
    }

    /**
     * The reported load of a server.
     *
     * @param running the number of requests that it is processing
     * @param queued the number of requests in its queue
     * @param ageMs the age of the figures when the server sent them, in milliseconds
     * @param slowdown how long work takes at present, relative to the server's usual time; empty if not reported
     */
    public record Load(int running, int queued, long ageMs, OptionalDouble slowdown) {
        /** Least slowdown that a server can report. */
        public static final double MIN_SLOWDOWN = 0.01;

        /** Greatest slowdown that a server can report. */
        public static final double MAX_SLOWDOWN = 100;

        public Load {
            Checks.inRange(running, 0, Integer.MAX_VALUE, "running");
            Checks.inRange(queued, 0, Integer.MAX_VALUE, "queued");
            slowdown.ifPresent(s -> Checks.finiteNotNegative(s, "slowdown"));
            if (slowdown.isPresent()
                    && (slowdown.getAsDouble() < MIN_SLOWDOWN || slowdown.getAsDouble() > MAX_SLOWDOWN)) {
                throw new IllegalArgumentException("slowdown must be between " + MIN_SLOWDOWN + " and " + MAX_SLOWDOWN
                        + ", got " + slowdown.getAsDouble());
            }
        }

        /**
         * Creates the load of a server that reports no slowdown.
         *
         * @param running the number of requests that it is processing
         * @param queued the number of requests in its queue
         * @param ageMs the age of the figures when the server sent them, in milliseconds
         */
        public Load(int running, int queued, long ageMs) {
            this(running, queued, ageMs, OptionalDouble.empty());
        }
    }
}
