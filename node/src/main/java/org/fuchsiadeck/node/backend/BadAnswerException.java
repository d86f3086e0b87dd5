package org.fuchsiadeck.node.backend;

/**
 * An answer that breaks the protocol.
 */
final class BadAnswerException extends Exception {
    private static final long serialVersionUID = 1;

    BadAnswerException(String message) {
        super(message);
    }
}
