package org.fuchsiadeck.testbed.engine;

import java.util.Map;
import java.util.TreeMap;

/**
 * What an engine has done since it was made, restarts included.
 *
 * @param started how often each {@code request id/attempt} was put to work
 * @param tokensComputed tokens of prompts, resumed text and answers that were computed
 * @param tokensRecomputed tokens of prompts and resumed text that resumed or retried requests made it compute
 * @param lastStartAfterLeavingMs how long after it began to leave a request was last put to work, in milliseconds; -1
 *     if none was
 */
public record EngineAudit(
        Map<String, Integer> started, long tokensComputed, long tokensRecomputed, long lastStartAfterLeavingMs) {
    public EngineAudit {
        started = Map.copyOf(started);
    }

    static final class Recorder {
        private static final long NANOS_PER_MS = 1_000_000;

        private final Map<String, Integer> started = new TreeMap<>();

        private long computed;

        private long recomputed;

        private long leavingSinceNs;

        private long lastStartAfterLeavingMs = -1;

        private boolean leaving;

        synchronized void started(Generation g) {
            started.merge(g.key().requestId() + "/" + g.key().attempt(), 1, Integer::sum);
            computed += g.recomputedTokens();
            if (g.request().resume() != null || g.key().isRetry()) {
                recomputed += g.recomputedTokens();
            }
            if (leaving) {
                lastStartAfterLeavingMs = (System.nanoTime() - leavingSinceNs) / NANOS_PER_MS;
            }
        }

        synchronized void computed(int tokens) {
            computed += tokens;
        }

        synchronized void leaving(boolean on) {
            leaving = on;
            leavingSinceNs = System.nanoTime();
            lastStartAfterLeavingMs = on ? -1 : lastStartAfterLeavingMs;
        }

        synchronized EngineAudit audit() {
            return new EngineAudit(started, computed, recomputed, lastStartAfterLeavingMs);
        }
    }
}
