package org.fuchsiadeck.core.rollout;

/**
 * State of the calls to the platform's service. At most one read or watch and one write are open at a time.
 *
 * @param reading whether a read or watch is open
 * @param writing whether a write is open
 * @param failures consecutive failed calls
 * @param retryAtMs earliest monotonic time of the next call, in milliseconds
 * @param calls number of calls made; part of each call's tag, so that late results are recognised
 * @param watchAfter the revision of the service to watch after; 0 if the registry has to be read first
 */
record PlatformCallState(boolean reading, boolean writing, int failures, long retryAtMs, long calls, long watchAfter) {
    static final PlatformCallState IDLE = new PlatformCallState(false, false, 0, 0, 0, 0);

    private static final long BASE_BACKOFF_MS = 250;
    private static final long MAX_BACKOFF_MS = 8_000;
    private static final int MAX_DOUBLINGS = 5;

    PlatformCallState withReadStarted() {
        return new PlatformCallState(true, writing, failures, retryAtMs, calls + 1, watchAfter);
    }

    PlatformCallState withWriteStarted() {
        return new PlatformCallState(reading, true, failures, retryAtMs, calls + 1, watchAfter);
    }

    PlatformCallState withAnswer(boolean wasWrite) {
        return new PlatformCallState(reading && wasWrite, writing && !wasWrite, 0, 0, calls, watchAfter);
    }

    PlatformCallState withFailure(boolean wasWrite, long nowMs, long seed) {
        long ceiling = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << Math.min(failures, MAX_DOUBLINGS));
        long backoffMs = 1 + Math.floorMod(seed * 0x9e3779b97f4a7c15L + calls * 0xbf58476d1ce4e5b9L, ceiling);
        return new PlatformCallState(
                reading && wasWrite, writing && !wasWrite, failures + 1, nowMs + backoffMs, calls, watchAfter);
    }

    PlatformCallState withWatchAfter(long revision) {
        return new PlatformCallState(reading, writing, failures, retryAtMs, calls, revision);
    }

    boolean mayCall(long nowMs) {
        return nowMs >= retryAtMs;
    }
}
