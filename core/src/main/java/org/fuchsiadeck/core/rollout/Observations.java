package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.request.AttemptObserved;

/**
 * What one node saw of one rollout, whole and lately.
 *
 * @param number the rollout's number
 * @param total what was seen since the rollout began
 * @param epochMs when the current period began, in monotonic milliseconds
 * @param current what was seen in the current period
 * @param previous what was seen in the period before
 */
record Observations(long number, Evidence total, long epochMs, Evidence current, Evidence previous) {
    /** How long a period is, in milliseconds. */
    static final long PERIOD_MS = 5_000;

    static Observations start(long number, long nowMs) {
        return new Observations(number, Evidence.EMPTY, nowMs, Evidence.EMPTY, Evidence.EMPTY);
    }

    static Observations fromReport(long number, long nowMs, Evidence total, Evidence recent) {
        return new Observations(number, total, nowMs, recent, Evidence.EMPTY);
    }

    Observations withAttempt(AttemptObserved seen, RolloutStage stage, long nowMs) {
        Observations o = advancedTo(nowMs);
        return new Observations(
                number, o.total.withAttempt(seen, stage), o.epochMs, o.current.withAttempt(seen, stage), o.previous);
    }

    Observations advancedTo(long nowMs) {
        if (nowMs - epochMs < PERIOD_MS) {
            return this;
        }
        Evidence before = nowMs - epochMs < 2 * PERIOD_MS ? current : Evidence.EMPTY;
        return new Observations(number, total, nowMs, Evidence.EMPTY, before);
    }

    Evidence recent() {
        return current.plus(previous);
    }
}
