package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.request.AttemptObserved;

/**
 * Evidence that one node collected in one rollout, in total and over the last two periods.
 *
 * @param number the rollout's number
 * @param total evidence since the rollout began
 * @param epochMs when the current period began, in monotonic milliseconds
 * @param current evidence of the current period
 * @param previous evidence of the previous period
 */
record Observations(long number, Evidence total, long epochMs, Evidence current, Evidence previous) {
    /** Length of a period, in milliseconds. */
    static final long PERIOD_MS = 5_000;

    static Observations start(long number, long nowMs) {
        return new Observations(number, Evidence.EMPTY, nowMs, Evidence.EMPTY, Evidence.EMPTY);
    }

    static Observations fromReport(long number, long nowMs, Evidence total, Evidence recent) {
        return new Observations(number, total, nowMs, recent, Evidence.EMPTY);
    }

    Observations withAttempt(AttemptObserved attempt, RolloutStage stage, long nowMs) {
        Observations advanced = advancedTo(nowMs);
        return new Observations(
                number,
                advanced.total.withAttempt(attempt, stage),
                advanced.epochMs,
                advanced.current.withAttempt(attempt, stage),
                advanced.previous);
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
