package org.fuchsiadeck.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

/**
 * A graceful shutdown: begins once, and ends when all is answered or the notice is over.
 */
final class Drain {
    private static final long CHECK_MS = 20;
    private static final long FLUSH_MS = 5_000;
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final LongConsumer begin;
    private final IntSupplier open;
    private final BooleanSupplier handedOver;
    private final AtomicBoolean requested = new AtomicBoolean();
    private final CountDownLatch begun = new CountDownLatch(1);
    private volatile boolean allAnswered;
    private volatile long endNanos;

    /**
     * Creates a shutdown that was not asked for yet.
     *
     * @param begin takes the notice, in milliseconds, when the shutdown begins
     * @param open counts the requests without a complete answer
     * @param handedOver whether other nodes have taken over what this one keeps for the callers
     */
    Drain(LongConsumer begin, IntSupplier open, BooleanSupplier handedOver) {
        this.begin = begin;
        this.open = open;
        this.handedOver = handedOver;
    }

    void request(long noticeMs) {
        if (!requested.compareAndSet(false, true)) {
            return;
        }
        endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(0, noticeMs));
        begin.accept(noticeMs);
        begun.countDown();
    }

    boolean isRequested() {
        return requested.get();
    }

    /** The decisions say that every request has had its final answer. */
    void allAnswered() {
        allAnswered = true;
        request(FLUSH_MS);
    }

    void await() throws InterruptedException {
        begun.await();
        long idleSince = System.nanoTime();
        while (System.nanoTime() < endNanos) {
            long now = System.nanoTime();
            if (open.getAsInt() > 0) {
                idleSince = now;
            } else if (done(now - idleSince)) {
                return;
            }
            Thread.sleep(CHECK_MS);
        }
    }

    private boolean done(long idleNanos) {
        boolean answered = allAnswered || idleNanos > SETTLE_NANOS;
        return answered && (handedOver.getAsBoolean() || idleNanos > HANDOVER_NANOS);
    }
}
