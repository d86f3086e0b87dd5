package org.fuchsiadeck.testbed.app;

import static java.util.Objects.requireNonNull;

/**
 * A fault of an application.
 *
 * @param kind what goes wrong
 * @param step where a closed connection or a failure comes; by default before running
 * @param count how many requests show the fault, 0 for no limit
 * @param probability the share of requests that show it, 0 for all
 * @param route the fault shows only on this route, as the header {@code X-Route} names it; null for any
 * @param delayMs how long a slow or late answer takes more, in milliseconds
 */
public record AppFault(Kind kind, Step step, int count, double probability, String route, long delayMs) {
    private static final long DELAY_MS = 1_000;

    public AppFault {
        requireNonNull(kind, "kind");
        step = step == null ? Step.BEFORE_RUNNING : step;
        probability = probability == 0 ? 1 : probability;
        delayMs = delayMs == 0 ? DELAY_MS : delayMs;
    }

    /**
     * Gives a fault of the next requests.
     *
     * @param kind what goes wrong
     * @param count how many requests show it, 0 for no limit
     * @return the fault
     */
    public static AppFault next(Kind kind, int count) {
        return new AppFault(kind, null, count, 0, null, 0);
    }

    /**
     * Gives closed connections of the next requests.
     *
     * @param step where the connection closes
     * @param count how many requests show it, 0 for no limit
     * @return the fault
     */
    public static AppFault close(Step step, int count) {
        return new AppFault(Kind.CLOSE, step, count, 0, null, 0);
    }

    /** What goes wrong. */
    public enum Kind {
        /** 503 with {@code X-Not-Run: 1}; the request is not run. */
        REFUSE,
        /** 500, before or after running. */
        FAIL,
        /** The request waits before it runs. */
        SLOW,
        /** The connection closes. */
        CLOSE,
        /** The answer is another request's. */
        WRONG_ID,
        /** The answer comes twice. */
        DUPLICATE,
        /** The request runs at once and the answer waits. */
        LATE
    }

    /** Where a closed connection or a failure comes. */
    public enum Step {
        /** Before the body is read. */
        BEFORE_READING,
        /** After the body is read. */
        BEFORE_RUNNING,
        /** After the request took effect. */
        AFTER_RUNNING,
        /** After half of the answer. */
        MID_ANSWER
    }
}
