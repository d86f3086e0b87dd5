package org.fuchsiadeck.cli.load;

import org.fuchsiadeck.cli.ExitCode;

/**
 * What a caller knows of its request when the answer has ended.
 */
enum Outcome {
    /** The whole answer came. */
    ANSWERED("answered", ExitCode.DONE),
    /** The request was not run. */
    NOT_RUN("not-run", ExitCode.FAILED),
    /** An earlier request with the same key was run or is in progress. */
    DUPLICATE("duplicate", ExitCode.FAILED),
    /** The backend server answered with an error of the caller's. */
    FAILED("failed", ExitCode.FAILED),
    /** The request may have run. */
    UNKNOWN("unknown", ExitCode.OUTCOME_UNKNOWN);

    private static final int SERVER_ERROR = 500;

    private final String word;
    private final ExitCode code;

    Outcome(String word, ExitCode code) {
        this.word = word;
        this.code = code;
    }

    /**
     * Tells the outcome of a request.
     *
     * @param ending how it ended
     * @param last the last event of a streamed answer, or null
     * @return what the caller knows
     */
    static Outcome of(AnswerHandler.Ending ending, StreamEvent last) {
        AnswerHandler.Head head = ending.head();
        if (ending.step() == AnswerHandler.Step.CONNECT) {
            return NOT_RUN;
        }
        if (ending.step() == AnswerHandler.Step.ANSWER) {
            return UNKNOWN;
        }
        if (head.streamed() && head.good()) {
            return ofStream(last);
        }
        if (!head.outcome().isEmpty()) {
            return ofWord(head.outcome());
        }
        if (head.good()) {
            return ANSWERED;
        }
        return head.status() >= SERVER_ERROR ? UNKNOWN : FAILED;
    }

    private static Outcome ofStream(StreamEvent last) {
        if (last == null) {
            return UNKNOWN;
        }
        return switch (last.kind()) {
            case DONE -> ANSWERED;
            case ERROR -> ofWord(last.outcome());
            default -> UNKNOWN;
        };
    }

    private static Outcome ofWord(String word) {
        for (Outcome outcome : values()) {
            if (outcome.word.equals(word)) {
                return outcome;
            }
        }
        return UNKNOWN;
    }

    ExitCode code() {
        return code;
    }

    @Override
    public String toString() {
        return word;
    }
}
