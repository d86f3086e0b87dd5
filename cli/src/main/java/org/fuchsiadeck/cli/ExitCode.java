package org.fuchsiadeck.cli;

/**
 * How a command ended, as its process's exit code.
 */
public enum ExitCode {
    /** What was asked for is done. */
    DONE(0),
    /** It is not done, and will not be. */
    FAILED(1),
    /** The arguments are wrong; nothing was tried. */
    WRONG_USE(2),
    /** It may be done, or not. */
    OUTCOME_UNKNOWN(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the code
     */
    public int code() {
        return code;
    }
}
