package org.fuchsiadeck.testbed.kv;

/**
 * A token bucket that holds the calls of one second.
 */
final class RateLimit {
    private static final double NANOS_PER_S = 1e9;

    private final double perS;

    private double tokens;

    private long lastNs;

    RateLimit(int perS, long nowNs) {
        this.perS = perS;
        this.tokens = perS;
        this.lastNs = nowNs;
    }

    synchronized boolean take(long nowNs) {
        tokens = Math.min(perS, tokens + (nowNs - lastNs) / NANOS_PER_S * perS);
        lastNs = nowNs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
