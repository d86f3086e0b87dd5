package org.fuchsiadeck.testbed.app;

import java.util.Map;
import java.util.TreeMap;

/**
 * What an application has run since it was made, restarts included.
 *
 * @param runs how often each entry was run
 * @param lastRunAfterLeavingMs how long after it began to leave a request last came in to be run, in milliseconds; -1 if
 *     none did
 */
public record AppAudit(Map<String, Integer> runs, long lastRunAfterLeavingMs) {
    public AppAudit {
        runs = Map.copyOf(runs);
    }

    static final class Recorder {
        private static final long NANOS_PER_MS = 1_000_000;

        private final Map<String, Integer> runs = new TreeMap<>();

        private boolean leaving;

        private long leavingSinceNs;

        private long lastAfterLeavingMs = -1;

        synchronized int ran(String entry) {
            return runs.merge(entry, 1, Integer::sum);
        }

        synchronized void arrived() {
            if (leaving) {
                lastAfterLeavingMs = (System.nanoTime() - leavingSinceNs) / NANOS_PER_MS;
            }
        }

        synchronized void leaving(boolean on) {
            leaving = on;
            leavingSinceNs = System.nanoTime();
            lastAfterLeavingMs = on ? -1 : lastAfterLeavingMs;
        }

        synchronized AppAudit audit() {
            return new AppAudit(runs, lastAfterLeavingMs);
        }
    }
}
