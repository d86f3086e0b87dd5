package org.fuchsiadeck.node.settings;

import java.nio.file.Path;

import static java.util.Objects.requireNonNull;

/**
 * Why a node can't start with its settings.
 *
 * @param file the settings file
 * @param line the line, from 1
 * @param column the column, from 1
 * @param message what is wrong
 */
public record SettingsError(Path file, int line, int column, String message) {
    public SettingsError {
        requireNonNull(file, "file");
        requireNonNull(message, "message");
    }

    /** Returns the error as one line, with its position as compilers give it. */
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + message;
    }
}
