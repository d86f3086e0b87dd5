package org.fuchsiadeck.core.request;

/**
 * How far a failed attempt got, as far as this can be proved.
 */
enum AttemptProgress {
    /** No byte of the request was written. */
    NOT_WRITTEN,
    /** The server refused the request in the form that its contract defines as not run. */
    REFUSED,
    /** A byte of the request was or may have been written; no byte of the answer was received. */
    WRITTEN,
    /** Part of the answer was received. */
    BEGUN;

    /**
     * Returns how far an attempt got.
     *
     * @param attempt the attempt
     * @param failure why it ended
     * @return the progress; the further one if the attempt and its failure disagree
     */
    static AttemptProgress of(Attempt attempt, Failure failure) {
        if (attempt.firstByteMs() >= 0) {
            return BEGUN;
        }
        // A refusal is recognized by the head of the answer; nothing after the head is read.
        if (failure.kind() == Failure.Kind.REFUSED_NOT_RUN) {
            return REFUSED;
        }
        if (failure.step() == Failure.Step.STREAMING) {
            return BEGUN;
        }
        return failure.step() == Failure.Step.CONNECTING && !attempt.written() ? NOT_WRITTEN : WRITTEN;
    }
}
