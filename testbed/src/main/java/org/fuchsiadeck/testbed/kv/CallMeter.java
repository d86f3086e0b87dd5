package org.fuchsiadeck.testbed.kv;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls and holds them to the service's rate.
 */
final class CallMeter {
    private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

    private final LongAdder limited = new LongAdder();

    private final RateLimit reads;

    private final RateLimit writes;

    CallMeter(KvSettings settings) {
        long now = System.nanoTime();
        reads = new RateLimit(settings.readsPerS(), now);
        writes = new RateLimit(settings.writesPerS(), now);
        for (Kind kind : Kind.values()) {
            counts.put(kind, new LongAdder());
        }
    }

    /** Counts a call; false if it is over the rate. */
    boolean count(Kind kind) {
        counts.get(kind).increment();
        RateLimit limit = kind.isRead ? reads : writes;
        boolean allowed = limit.take(System.nanoTime());
        if (!allowed) {
            limited.increment();
        }
        return allowed;
    }

    KvStats stats() {
        return new KvStats(sum(Kind.READ), sum(Kind.WRITE), sum(Kind.WATCH), sum(Kind.RENEWAL), limited.sum());
    }

    private long sum(Kind kind) {
        return counts.get(kind).sum();
    }

    /** The kinds of calls. */
    enum Kind {
        READ(true),
        WRITE(false),
        WATCH(true),
        RENEWAL(false);

        private final boolean isRead;

        Kind(boolean isRead) {
            this.isRead = isRead;
        }
    }
}
