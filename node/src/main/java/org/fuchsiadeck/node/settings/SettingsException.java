package org.fuchsiadeck.node.settings;

/**
 * A fault in a settings file, at one place.
 */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final String key;

    SettingsException(String key, String message) {
        super(message);
        this.key = key;
    }

    String key() {
        return key;
    }
}
