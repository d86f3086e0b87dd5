package org.fuchsiadeck.node.backend;

/**
 * Thrown when an answer violates the protocol.
 */
public final class BadAnswerException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param message the violation
     */
    public BadAnswerException(String message) {
        super(message);
    }
}
