package org.fuchsiadeck.node.config;

import static java.util.Objects.requireNonNull;

/**
 * Something wrong in the text of a configuration.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param message what is wrong
 */
public record ConfigError(int line, int column, String message) {
    public ConfigError {
        requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        return line + ":" + column + ": " + message;
    }
}
