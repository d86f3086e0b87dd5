package org.fuchsiadeck.node;

/**
 * A part of the node that did not open.
 */
final class StartException extends Exception {
    private static final long serialVersionUID = 1;

    private final String key;

    StartException(String key, String message, Throwable cause) {
        super(message, cause);
        this.key = key;
    }

    /** Returns the setting concerned. */
    String key() {
        return key;
    }
}
