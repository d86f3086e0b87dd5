package org.fuchsiadeck.testbed.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * What the prefix cache took in and gave up, published late and with gaps.
 */
final class CacheEvents {
    private static final int LIMIT = 10_000;

    private final long delayNs;

    private final double lossRate;

    private final Random random;

    private final Deque<Entry> entries = new ArrayDeque<>();

    private long last;

    CacheEvents(EngineSettings settings, long seed) {
        this.delayNs = TimeUnit.MILLISECONDS.toNanos(settings.cacheEventDelayMs());
        this.lossRate = settings.cacheEventLossRate();
        this.random = new Random(seed);
    }

    synchronized void add(long key, boolean added) {
        last++;
        if (random.nextDouble() < lossRate) {
            return;
        }
        entries.add(new Entry(new CacheEvent(last, String.format("%016x", key), added), System.nanoTime()));
        if (entries.size() > LIMIT) {
            entries.remove();
        }
    }

    synchronized Page after(long n) {
        long dueBefore = System.nanoTime() - delayNs;
        long from = n > last ? 0 : n; // the engine has started anew since
        long next = from;
        List<CacheEvent> events = new ArrayList<>();
        for (Entry e : entries) {
            if (e.atNs > dueBefore) {
                break;
            }
            next = Math.max(next, e.event.n());
            if (e.event.n() > from) {
                events.add(e.event);
            }
        }
        return new Page(events, next);
    }

    /**
     * A block taken in or given up.
     *
     * @param n the event's number
     * @param prefix the block's key in 16 hexadecimal digits
     * @param added true if taken in
     */
    record CacheEvent(long n, String prefix, boolean added) {}

    /**
     * The events after a number.
     *
     * @param events the events
     * @param next the number to ask after the next time
     */
    record Page(List<CacheEvent> events, long next) {}

    private record Entry(CacheEvent event, long atNs) {}
}
