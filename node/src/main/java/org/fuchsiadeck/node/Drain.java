package org.fuchsiadeck.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * A graceful shutdown: begins once, and ends when all is answered or the notice is over.
 */
final class Drain {
    private static final long CHECK_MS = 20;
    private static final long FLUSH_MS = 5_000;
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long HANDOVER_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Begin begin;
    private final IntSupplier open;
    private final BooleanSupplier handedOver;
    private final long intakeMs;
    private final AtomicBoolean requested = new AtomicBoolean();
    private final CountDownLatch begun = new CountDownLatch(1);
    private volatile boolean allAnswered;
    private volatile long endNanos;
    private volatile long intakeEndNanos;

    /** Begins the shutdown. */
    @FunctionalInterface
    interface Begin {
        /**
         * Begins the shutdown.
         *
         * @param noticeMs the time left, in milliseconds
         * @param intakeMs for how long requests are still taken, in milliseconds
         */
        void begin(long noticeMs, long intakeMs);
    }

    /**
     * Creates a shutdown that was not asked for yet.
     *
     * @param begin called once when the shutdown begins
     * @param open counts the requests without a complete answer
     * @param handedOver whether other nodes have taken over what this one keeps for the callers
     * @param intakeMs for how long requests are still taken, in milliseconds
     */
    Drain(Begin begin, IntSupplier open, BooleanSupplier handedOver, long intakeMs) {
        this.begin = begin;
        this.open = open;
        this.handedOver = handedOver;
        this.intakeMs = intakeMs;
    }

    void request(long noticeMs) {
        if (!requested.compareAndSet(false, true)) {
            return;
        }
        long now = System.nanoTime();
        long takeMs = Math.min(intakeMs, Math.max(0, noticeMs) / 2);
        endNanos = now + TimeUnit.MILLISECONDS.toNanos(Math.max(0, noticeMs));
        intakeEndNanos = now + TimeUnit.MILLISECONDS.toNanos(takeMs);
        begin.begin(noticeMs, takeMs);
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
            if (open.getAsInt() > 0 || now < intakeEndNanos) {
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
