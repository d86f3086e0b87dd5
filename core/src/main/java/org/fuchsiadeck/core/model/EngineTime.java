package org.fuchsiadeck.core.model;

/**
 * How long a current engine works on a request. The figures are orders of magnitude, for choices between servers and for the
 * size of a fleet; engines do not tell theirs.
 */
public final class EngineTime {
    /** Prompt tokens that an engine reads in a millisecond. */
    public static final double PREFILL_TOKENS_PER_MS = 80;

    /** Time that one more generated token costs an engine which generates for many requests at once, in milliseconds. */
    private static final double GENERATED_TOKEN_MS = 0.05;

    private EngineTime() {}

    /**
     * Estimates the time that a request takes from an engine.
     *
     * @param unread tokens of its prompt that the engine has to read
     * @param maxTokens most tokens to generate
     * @return the time, in milliseconds
     */
    public static double estimateRequestMs(int unread, int maxTokens) {
        return unread / PREFILL_TOKENS_PER_MS + maxTokens * GENERATED_TOKEN_MS;
    }
}
