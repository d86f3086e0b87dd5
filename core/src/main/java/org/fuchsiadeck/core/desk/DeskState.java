package org.fuchsiadeck.core.desk;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.platform.WatchedKeys;

import static java.util.Objects.requireNonNull;

/**
 * The operators' orders, and what was written of their standing.
 *
 * @param orders the orders in the platform's service
 * @param read revisions of the orders that were read
 * @param written what was last written of a service's rollout
 * @param writing the text being written, by service, and when the write is given up, in milliseconds
 * @param sequence writes made so far
 */
public record DeskState(
        WatchedKeys orders,
        Map<String, Long> read,
        Map<String, String> written,
        Map<String, Writing> writing,
        long sequence) {
    static final String ORDERS = "rollout-orders/";
    static final String STANDINGS = "rollout-status/";

    /** An order is learned of within a watch; a new version's servers take seconds to start. */
    private static final long WATCH_WAIT_MS = 3_000;

    public DeskState {
        requireNonNull(orders, "orders");
        requireNonNull(read, "read");
        requireNonNull(written, "written");
        requireNonNull(writing, "writing");
    }

    /**
     * A write in progress.
     *
     * @param tag the call's tag
     * @param text what is written
     * @param untilMs when it is given up, in milliseconds
     */
    record Writing(String tag, String text, long untilMs) {}

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static DeskState initial() {
        return new DeskState(
                WatchedKeys.of(ORDERS, WATCH_WAIT_MS), HashMap.empty(), HashMap.empty(), HashMap.empty(), 0);
    }

    DeskState with(WatchedKeys next) {
        return new DeskState(next, read, written, writing, sequence);
    }

    DeskState withRead(Map<String, Long> next) {
        return new DeskState(orders, next, written, writing, sequence);
    }

    DeskState with(Map<String, String> done, Map<String, Writing> open, long calls) {
        return new DeskState(orders, read, done, open, calls);
    }
}
