package org.fuchsiadeck.core.desk;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.platform.WatchedKeys;

import static java.util.Objects.requireNonNull;

/**
 * The operators' rollout orders as far as read, and the rollout statuses written so far.
 *
 * @param orders the order keys in the platform's key-value service
 * @param read the last revision read of each order, by key
 * @param written the rollout number and status last written, by service
 * @param writing the writes in progress, by service
 * @param sequence the number of writes made so far
 */
public record RolloutOrderState(
        WatchedKeys orders,
        Map<String, Long> read,
        Map<String, String> written,
        Map<String, PendingWrite> writing,
        long sequence) {
    static final String ORDERS_PREFIX = "rollout-orders/";
    static final String STATUS_PREFIX = "rollout-status/";

    /** An order may be noticed this late, because servers of a new version take seconds to start. */
    private static final long WATCH_WAIT_MS = 3_000;

    public RolloutOrderState {
        requireNonNull(orders, "orders");
        requireNonNull(read, "read");
        requireNonNull(written, "written");
        requireNonNull(writing, "writing");
    }

    /**
     * A status write in progress.
     *
     * @param tag the call's tag
     * @param text the rollout number and status being written
     * @param untilMs the time at which the write times out, in milliseconds
     */
    record PendingWrite(String tag, String text, long untilMs) {}

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static RolloutOrderState initial() {
        return new RolloutOrderState(
                WatchedKeys.of(ORDERS_PREFIX, WATCH_WAIT_MS), HashMap.empty(), HashMap.empty(), HashMap.empty(), 0);
    }

    RolloutOrderState with(WatchedKeys next) {
        return new RolloutOrderState(next, read, written, writing, sequence);
    }

    RolloutOrderState withRead(Map<String, Long> next) {
        return new RolloutOrderState(orders, next, written, writing, sequence);
    }

    RolloutOrderState with(Map<String, String> done, Map<String, PendingWrite> open, long calls) {
        return new RolloutOrderState(orders, read, done, open, calls);
    }
}
