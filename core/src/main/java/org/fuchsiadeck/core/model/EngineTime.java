package org.fuchsiadeck.core.model;

/**
 * Estimates how long a current model engine takes for a request. The figures are orders of magnitude, used for choosing
 * between servers and for planning the number of servers; engines do not report their own.
 */
public final class EngineTime {
    /** Prompt tokens that an engine processes per millisecond (prefill). */
    public static final double PREFILL_TOKENS_PER_MS = 80;

    /** Engine time per generated token when an engine generates for many requests at once, in milliseconds. */
    private static final double GENERATED_TOKEN_MS = 0.05;

    private EngineTime() {}

    /**
     * Estimates the engine time of a request.
     *
     * @param unread the prompt tokens that are not in the cache of the engine
     * @param maxTokens the maximum number of tokens to generate
     * @return the engine time, in milliseconds
     */
    public static double estimateRequestMs(int unread, int maxTokens) {
        return estimateRequestMs(unread, maxTokens, PREFILL_TOKENS_PER_MS);
    }

    /**
     * Estimates the engine time of a request on engines whose prefill rate is known.
     *
     * @param unread the prompt tokens that are not in the cache of the engine
     * @param maxTokens the maximum number of tokens to generate
     * @param tokensPerMs the prompt tokens that an engine processes per millisecond
     * @return the engine time, in milliseconds
     */
    public static double estimateRequestMs(int unread, int maxTokens, double tokensPerMs) {
        return unread / tokensPerMs + maxTokens * GENERATED_TOKEN_MS;
    }
}
