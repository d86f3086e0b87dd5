package org.fuchsiadeck.cli.load;

/**
 * An event of a streamed answer, as docs/HTTP.md describes it.
 *
 * @param kind what it is
 * @param index a token's position in the answer, from 0; -1 for other events
 * @param text a token's text, or what an error event says
 * @param outcome the outcome of an error event; empty for other events
 * @param usage what the answer cost, in the last event; nothing in other events
 */
record StreamEvent(Kind kind, int index, String text, String outcome, Usage usage) {
    /** What an event is. */
    enum Kind {
        /** One token. */
        TOKEN,
        /** The end of a whole answer. */
        DONE,
        /** The end of a failed answer. */
        ERROR,
        /** None of the protocol. */
        UNREADABLE
    }

    /**
     * What an answer cost, as the engine that ended it counts.
     *
     * @param promptTokens tokens of the prompt
     * @param computedTokens tokens of prompt and resumed text that its cache lacked
     */
    record Usage(int promptTokens, int computedTokens) {
        static final Usage NONE = new Usage(0, 0);
    }
}
