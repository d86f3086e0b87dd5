package org.fuchsiadeck.core.limit;

import java.util.OptionalLong;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The capacity of a service that all entry nodes share.
 *
 * @param pools the pools of servers, by the requirements that they meet
 * @param refusedUntilMs until when a server that refused a request gets none, in milliseconds
 * @param dueMs when the queue is reviewed next, in milliseconds; {@link Long#MIN_VALUE} if no review is scheduled
 */
public record ServiceCapacity(Map<String, SharedCapacity> pools, Map<BackendId, Long> refusedUntilMs, long dueMs) {
    /** The capacity of a service that is not scheduled by shared capacity. */
    public static final ServiceCapacity NONE = new ServiceCapacity(HashMap.empty(), HashMap.empty(), Long.MIN_VALUE);

    public ServiceCapacity {
        requireNonNull(pools, "pools");
        requireNonNull(refusedUntilMs, "refusedUntilMs");
    }

    /**
     * Returns a pool.
     *
     * @param key the requirements that its servers meet
     * @return the pool; {@link SharedCapacity#NONE} if it has not been observed
     */
    public SharedCapacity pool(String key) {
        return pools.getOrElse(key, SharedCapacity.NONE);
    }

    /**
     * Returns this capacity with a pool.
     *
     * @param key the requirements that its servers meet
     * @param pool the pool
     * @return the updated capacity
     */
    public ServiceCapacity with(String key, SharedCapacity pool) {
        return new ServiceCapacity(pools.put(key, pool), refusedUntilMs, dueMs);
    }

    /**
     * Returns this capacity after a server refused a request.
     *
     * @param id the server
     * @param nowMs the time, in milliseconds
     * @return the updated capacity, in which the server is excluded for the usual age of a report
     */
    public ServiceCapacity withRefusal(BackendId id, long nowMs) {
        Map<BackendId, Long> current = refusedUntilMs.filterValues(until -> until > nowMs);
        return new ServiceCapacity(pools, current.put(id, nowMs + SharedCapacity.REPORT_AGE_MS), dueMs);
    }

    /**
     * Returns this capacity after a server completed a request, which freed a slot.
     *
     * @param id the server
     * @return the updated capacity; the same if the server was not excluded
     */
    public ServiceCapacity withCompletion(BackendId id) {
        return refusedUntilMs.containsKey(id) ? new ServiceCapacity(pools, refusedUntilMs.remove(id), dueMs) : this;
    }

    /**
     * Returns whether a server is excluded because it refused a request.
     *
     * @param id the server
     * @param nowMs the time, in milliseconds
     * @return whether it gets no request now
     */
    public boolean isExcluded(BackendId id, long nowMs) {
        return refusedUntilMs.get(id).exists(until -> until > nowMs);
    }

    /**
     * Returns this capacity with the time of the next review of the queue.
     *
     * @param nextMs the time, in milliseconds
     * @return the updated capacity
     */
    public ServiceCapacity withDue(long nextMs) {
        return new ServiceCapacity(pools, refusedUntilMs, nextMs);
    }

    /**
     * Returns in how long the queue should be reviewed.
     *
     * @return the shortest time of any pool, in milliseconds
     */
    public long reviewInMs() {
        return pools.values().map(SharedCapacity::reviewInMs).min().getOrElse(SharedCapacity.NONE::reviewInMs);
    }

    /**
     * Returns the attempts in use per slot of the fullest pool.
     *
     * @param fromMs the time since which a pool must have been observed, in milliseconds
     * @return the share of the slots; 0 if no pool was observed since
     */
    public double inUse(long fromMs) {
        return pools.values()
                .filter(p -> p.atMs() >= fromMs)
                .map(SharedCapacity::inUse)
                .max()
                .getOrElse(0.0);
    }

    /**
     * Returns the requests sent while their pool was full.
     *
     * @return the number of requests since the node started
     */
    public long releases() {
        return pools.values().map(SharedCapacity::releases).sum().longValue();
    }

    /**
     * Predicts how long a request waits for a release.
     *
     * @param ahead the number of queued requests ahead of it
     * @return the longest wait in any full pool, in milliseconds; empty if none is full
     */
    public OptionalLong predictedWaitMs(int ahead) {
        return pools.values()
                .toJavaStream()
                .filter(SharedCapacity::isFull)
                .mapToLong(p -> p.predictedWaitMs(ahead))
                .max();
    }
}
