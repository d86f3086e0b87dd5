package org.fuchsiadeck.core.routing;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * The usable backend servers of one availability zone that meet one need, and their load from all entry nodes.
 *
 * @param zone the zone
 * @param servers the servers that may be sent requests
 * @param slots the number of requests that they process at a time
 * @param tokensPerMs the prompt tokens that they process per millisecond, together
 * @param attempts the attempts in progress at them
 * @param unread the prompt tokens that they have yet to process
 * @param slotMs the time for which a request occupies a slot, in milliseconds; 0 if unknown
 */
public record ZoneLoad(
        Zone zone,
        Set<BackendId> servers,
        int slots,
        double tokensPerMs,
        double attempts,
        double unread,
        double slotMs) {
    /** Time within which a difference between the queues of zones is to be levelled, in milliseconds. */
    private static final double DRAIN_MS = 3_000;

    public ZoneLoad {
        requireNonNull(zone, "zone");
        requireNonNull(servers, "servers");
    }

    /**
     * Returns the load of a zone without usable servers.
     *
     * @param zone the zone
     * @return the empty load
     */
    public static ZoneLoad empty(Zone zone) {
        return new ZoneLoad(zone, HashSet.empty(), 0, 0, 0, 0, 0);
    }

    /**
     * Adds a server.
     *
     * @param server the server, as this node knows it
     * @param attemptsElsewhere attempts of other nodes at the server
     * @param unreadElsewhere prompt tokens that the server has yet to process for other nodes
     * @param serverTokensPerMs prompt tokens that the server processes per millisecond
     * @param serverSlotMs the time for which a request occupies a slot of the server, in milliseconds
     * @return the load of the zone with the server
     */
    public ZoneLoad plus(
            BackendStatus server,
            int attemptsElsewhere,
            int unreadElsewhere,
            double serverTokensPerMs,
            double serverSlotMs) {
        int nextSlots = slots + server.backend().slots();
        double weight = (double) server.backend().slots() / nextSlots;
        return new ZoneLoad(
                zone,
                servers.add(server.backend().id()),
                nextSlots,
                tokensPerMs + serverTokensPerMs,
                attempts + server.inFlight() + Math.max(0, attemptsElsewhere),
                unread + server.unread() + Math.max(0, unreadElsewhere),
                slotMs + (serverSlotMs - slotMs) * weight);
    }

    boolean isUsable() {
        return slots > 0;
    }

    /** Predicts the time until a new request's prompt is processed or its work begins, in milliseconds. */
    double waitMs() {
        return Math.max(readMs(), (attempts / slots - 1) * slotMs);
    }

    private double readMs() {
        return unread / tokensPerMs;
    }

    /** Returns the time in which one server of the zone does the work of a request that others wait for, in ms. */
    double requestMs(double promptTokens) {
        return Math.max(readMs(promptTokens), slotMs / slots * servers.size());
    }

    private double readMs(double promptTokens) {
        return promptTokens * servers.size() / tokensPerMs;
    }

    /**
     * Estimates the prompt tokens that arrive per millisecond from the unread ones. A queue grows much faster than the
     * traffic that causes it: at a single server with random arrivals, the utilization is w / (w + s) for a mean wait w
     * and a mean time s per request. Comparing the unread tokens themselves would move several times too much. Of long
     * waits, which differ little in utilization, the part that is to be processed within the drain time is added.
     *
     * @param promptTokens mean length of a prompt, in tokens
     */
    double arrivingTokensPerMs(double promptTokens) {
        return tokensPerMs * utilizationAt(readMs(), promptTokens);
    }

    private double utilizationAt(double waitMs, double promptTokens) {
        return waitMs > 0 ? waitMs / (waitMs + readMs(promptTokens)) + waitMs / DRAIN_MS : 0;
    }

    /**
     * Returns by how many attempts in progress the load may grow until the predicted wait has a given length.
     *
     * @param levelMs the wait, in milliseconds
     * @param promptTokens mean length of a prompt, in tokens
     * @param attemptTokensPerMs prompt tokens that arrive per millisecond for each attempt in progress
     * @return the number; negative if the load has to shrink by as many, at most by all attempts
     */
    double headroom(double levelMs, double promptTokens, double attemptTokensPerMs) {
        if (levelMs < 0) {
            return -attempts;
        }
        double slotRoom = slotMs > 0 ? slots * (1 + levelMs / slotMs) - attempts : Double.MAX_VALUE;
        double tokenRoom = tokensPerMs * utilizationAt(levelMs, promptTokens) - arrivingTokensPerMs(promptTokens);
        double readRoom = attemptTokensPerMs > 0 ? tokenRoom / attemptTokensPerMs : Double.MAX_VALUE;
        return Math.max(-attempts, Math.min(slotRoom, readRoom));
    }
}
