package org.fuchsiadeck.testbed.kv;

/**
 * Settings of the key-value service.
 *
 * @param port the port that callers use, 0 for any
 * @param proxied whether a proxy stands in front
 * @param writesPerS the rate of writes allowed, per second; 0 for the default
 * @param readsPerS the rate of reads, watches included, allowed, per second; 0 for the default
 * @param history how many past changes a watch can reach back to; 0 for the default
 */
public record KvSettings(int port, boolean proxied, int writesPerS, int readsPerS, int history) {
    private static final int WRITES_PER_S = 500;

    private static final int READS_PER_S = 2_000;

    private static final int HISTORY = 4_096;

    public KvSettings {
        writesPerS = writesPerS == 0 ? WRITES_PER_S : writesPerS;
        readsPerS = readsPerS == 0 ? READS_PER_S : readsPerS;
        history = history == 0 ? HISTORY : history;
    }

    /**
     * Changes the port.
     *
     * @param next the port, 0 for any
     * @return the changed copy
     */
    public KvSettings withPort(int next) {
        return new KvSettings(next, proxied, writesPerS, readsPerS, history);
    }

    /**
     * Gives the defaults.
     *
     * @return any port, no proxy, the platform's rates
     */
    public static KvSettings defaults() {
        return new KvSettings(0, false, 0, 0, 0);
    }
}
