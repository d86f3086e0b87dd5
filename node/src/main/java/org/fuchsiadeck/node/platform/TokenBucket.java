package org.fuchsiadeck.node.platform;

import java.util.function.LongSupplier;

/**
 * Allows calls at a steady rate, with bursts up to one second's worth. Thread-safe.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private final LongSupplier nanoTime;
    private double tokens;
    private long lastNanos;

    TokenBucket(double perSecond, LongSupplier nanoTime) {
        this.perSecond = perSecond;
        this.nanoTime = nanoTime;
        this.tokens = Math.max(1, perSecond);
        this.lastNanos = nanoTime.getAsLong();
    }

    /** Takes a token. Returns whether there was one. */
    synchronized boolean take() {
        long now = nanoTime.getAsLong();
        double gained = (now - lastNanos) / NANOS_PER_SECOND * perSecond;
        lastNanos = now;
        tokens = Math.min(Math.max(1, perSecond), tokens + gained);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
