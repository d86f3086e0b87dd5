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

    /**
     * Returns the exit code for a daemon that ended, and that wrote why if it failed.
     *
     * @param code the daemon's code: 0 if it stopped as asked, 2 if its settings can't be used
     * @return the exit code
     */
    static ExitCode ofDaemon(int code) {
        return switch (code) {
            case 0 -> DONE;
            case 2 -> WRONG_USE;
            default -> FAILED;
        };
    }
}
