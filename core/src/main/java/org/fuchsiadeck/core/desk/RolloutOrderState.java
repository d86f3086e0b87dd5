package org.fuchsiadeck.core.desk;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.platform.Mirror;

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
public record RolloutOrderState(
        Mirror orders,
        Map<String, Long> read,
        Map<String, String> written,
        Map<String, PendingWrite> writing,
        long sequence) {
    static final String ORDERS_PREFIX = "rollout-orders/";
    static final String STATUS_PREFIX = "rollout-status/";

    /** An order is learned of within a watch; a new version's servers take seconds to start. */
    private static final long WATCH_WAIT_MS = 3_000;

    public RolloutOrderState {
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
    record PendingWrite(String tag, String text, long untilMs) {}

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static RolloutOrderState initial() {
        return new RolloutOrderState(
                Mirror.of(ORDERS_PREFIX, WATCH_WAIT_MS), HashMap.empty(), HashMap.empty(), HashMap.empty(), 0);
    }

    RolloutOrderState with(Mirror next) {
        return new RolloutOrderState(next, read, written, writing, sequence);
    }

    RolloutOrderState withRead(Map<String, Long> next) {
        return new RolloutOrderState(orders, next, written, writing, sequence);
    }

    RolloutOrderState with(Map<String, String> done, Map<String, PendingWrite> open, long calls) {
        return new RolloutOrderState(orders, read, done, open, calls);
    }
}
