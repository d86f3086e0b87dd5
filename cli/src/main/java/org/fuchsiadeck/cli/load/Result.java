package org.fuchsiadeck.cli.load;

/**
 * What came of one request.
 *
 * @param planned the request
 * @param outcome what its caller knows
 * @param reason why it was refused or failed; empty if answered
 * @param latencyNs time from the intended send to the end, in nanoseconds
 * @param firstTokenNs time from the intended send to the first token, in nanoseconds; 0 if none came
 * @param betweenTokensNs mean time between tokens, in nanoseconds; 0 if fewer than two came
 * @param flaw what is wrong with the answer
 * @param usage what a streamed answer cost
 */
record Result(
        Planned planned,
        Outcome outcome,
        String reason,
        long latencyNs,
        long firstTokenNs,
        long betweenTokensNs,
        Flaw flaw,
        StreamEvent.Usage usage) {
    private static final long NS_PER_MS = 1_000_000;

    /** What can be wrong with an answer. */
    enum Flaw {
        /** Nothing. */
        NONE,
        /** It holds something that is not the answer to the request. */
        WRONG,
        /** It ended without its last event. */
        CUT
    }

    boolean answered() {
        return outcome == Outcome.ANSWERED && flaw == Flaw.NONE;
    }

    /** Tells whether the whole answer came within the goals. */
    boolean good(Experiment.Goals goals) {
        if (!answered()) {
            return false;
        }
        if (!planned.request().streamed()) {
            return latencyNs <= goals.plainMs() * NS_PER_MS;
        }
        return firstTokenNs <= goals.firstTokenMs() * NS_PER_MS
                && betweenTokensNs <= goals.betweenTokensMs() * NS_PER_MS;
    }
}
