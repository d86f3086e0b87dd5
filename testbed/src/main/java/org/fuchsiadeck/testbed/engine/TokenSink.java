package org.fuchsiadeck.testbed.engine;

/**
 * Where the tokens of one answer go. One thread uses it.
 */
interface TokenSink {
    /** Tells whether a token can be taken now. */
    boolean canWrite();

    /** Runs an action once a token can be taken again. */
    void whenWritable(Runnable action);

    /** Takes a token: its position and its index among the words. */
    void token(int i, int word);

    /** Ends a whole answer. */
    void done(Usage usage);

    /** Ends a failed answer. */
    void fail(String error);

    /** Ends an answer early, without saying why. */
    void cut();

    /** Ends the answer of a request that never ran. */
    void refuse(String error);
}
