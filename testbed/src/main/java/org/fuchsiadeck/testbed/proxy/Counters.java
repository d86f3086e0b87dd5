package org.fuchsiadeck.testbed.proxy;

import java.util.concurrent.atomic.LongAdder;

/**
 * What a proxy counts.
 */
final class Counters {
    private final LongAdder accepted = new LongAdder();

    private final LongAdder toTarget = new LongAdder();

    private final LongAdder toCaller = new LongAdder();

    private final LongAdder swallowed = new LongAdder();

    private final LongAdder cut = new LongAdder();

    void accepted() {
        accepted.increment();
    }

    void passed(Direction way, long bytes) {
        (way == Direction.TO_TARGET ? toTarget : toCaller).add(bytes);
    }

    void swallowed(long bytes) {
        swallowed.add(bytes);
    }

    void cut() {
        cut.increment();
    }

    ProxyStats stats(int open) {
        return new ProxyStats(accepted.sum(), open, toTarget.sum(), toCaller.sum(), swallowed.sum(), cut.sum());
    }
}
