package org.fuchsiadeck.testbed.engine;

/**
 * Settings of an engine beyond what the instance list says of it.
 *
 * @param cost how long work takes; the usual model if absent
 * @param cacheBlocks how many blocks of 16 tokens the prefix cache holds; 0 for the default
 * @param maxQueue how many requests may wait before the engine refuses as not run; 0 for the default
 * @param loadAgeMs how old a load report gets before it is taken anew, in milliseconds
 * @param cacheEventDelayMs how late cache events are published, in milliseconds
 * @param cacheEventLossRate the share of cache events that are never published, 0 to 1
 * @param ignoresFence whether orders with an old fencing number are taken
 * @param orderMs how long an order takes to come into force, in milliseconds
 * @param handleMs how long an exported KV cache is kept, in milliseconds; 0 for the default
 */
public record EngineSettings(
        CostModel cost,
        int cacheBlocks,
        int maxQueue,
        long loadAgeMs,
        long cacheEventDelayMs,
        double cacheEventLossRate,
        boolean ignoresFence,
        long orderMs,
        long handleMs) {
    private static final int CACHE_BLOCKS = 4_096;

    private static final int MAX_QUEUE = 1_000;

    private static final long HANDLE_MS = 30_000;

    public EngineSettings {
        cost = cost == null ? CostModel.usual() : cost;
        cacheBlocks = cacheBlocks == 0 ? CACHE_BLOCKS : cacheBlocks;
        maxQueue = maxQueue == 0 ? MAX_QUEUE : maxQueue;
        handleMs = handleMs == 0 ? HANDLE_MS : handleMs;
    }

    /**
     * Gives the defaults with a cost model.
     *
     * @param cost how long work takes
     * @return fresh load reports and cache events, no loss, fences heeded
     */
    public static EngineSettings with(CostModel cost) {
        return new EngineSettings(cost, 0, 0, 0, 0, 0, false, 0, 0);
    }
}
