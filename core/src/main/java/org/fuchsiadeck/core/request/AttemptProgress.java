package org.fuchsiadeck.core.request;

/**
 * How far an attempt that ended without a whole answer had come, as far as can be proved.
 */
enum AttemptProgress {
    /** No byte was written. */
    NOT_WRITTEN,
    /** The server refused in the way that its contract says means not run. */
    REFUSED,
    /** A byte was written, or may have been; no byte of the answer came. */
    WRITTEN,
    /** The answer had begun. */
    BEGUN;

    /**
     * Returns how far an attempt had come.
     *
     * @param attempt the attempt
     * @param failure how it ended
     * @return the extent; the greater one if the attempt and its failure disagree
     */
    static AttemptProgress of(Attempt attempt, Failure failure) {
        if (attempt.firstByteMs() >= 0) {
            return BEGUN;
        }
        // A refusal is read from the head of the answer, and nothing after it is.
        if (failure.kind() == Failure.Kind.REFUSED_NOT_RUN) {
            return REFUSED;
        }
        if (failure.step() == Failure.Step.STREAMING) {
            return BEGUN;
        }
        return failure.step() == Failure.Step.CONNECTING && !attempt.written() ? NOT_WRITTEN : WRITTEN;
    }
}
