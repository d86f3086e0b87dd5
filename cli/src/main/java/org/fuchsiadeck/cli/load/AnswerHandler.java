package org.fuchsiadeck.cli.load;

/**
 * Takes what comes of one request. Called by one thread at a time.
 */
interface AnswerHandler {
    /** The head of the answer came. */
    default void head(Head head) {}

    /** An event of a streamed answer came. */
    default void event(StreamEvent event) {}

    /** The request has ended, well or not; the last call. */
    void ended(Ending ending);

    /**
     * The head of an answer.
     *
     * @param status the HTTP status
     * @param outcome the header {@code X-Outcome}; empty if absent
     * @param streamed whether the body is a stream of events
     */
    record Head(int status, String outcome, boolean streamed) {
        /** No answer came. */
        static final Head NONE = new Head(0, "", false);

        boolean good() {
            return status >= 200 && status < 300;
        }
    }

    /**
     * The end of a request.
     *
     * @param step how far it came
     * @param head the head of the answer, or {@link Head#NONE}
     * @param body the body of an answer that is not streamed
     * @param detail what was seen of a failure; empty if the answer came whole
     */
    record Ending(Step step, Head head, byte[] body, String detail) {}

    /** How far a request came. */
    enum Step {
        /** No connection could be made; nothing was sent. */
        CONNECT,
        /** The connection was lost before the answer was whole. */
        ANSWER,
        /** The answer came whole, as HTTP counts it. */
        DONE
    }
}
