package org.fuchsiadeck.node.settings;

import java.nio.file.Path;

import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

import static java.util.Objects.requireNonNull;

/**
 * Settings with the place of each in its file.
 *
 * @param settings the settings
 * @param file the file
 * @param source the file's content
 */
public record LoadedSettings(Settings settings, Path file, TomlTable source) {
    public LoadedSettings {
        requireNonNull(settings, "settings");
        requireNonNull(file, "file");
        requireNonNull(source, "source");
    }

    /**
     * Returns an error at the place of a setting.
     *
     * @param key the setting, such as {@code callers.address}
     * @param message what is wrong with it
     * @return the error
     */
    public SettingsError error(String key, String message) {
        return errorAt(file, source, key, message);
    }

    static SettingsError errorAt(Path file, TomlTable source, String key, String message) {
        TomlPosition found = source.inputPositionOf(key);
        int dot = key.lastIndexOf('.');
        if (found == null && dot > 0) {
            found = source.inputPositionOf(key.substring(0, dot));
        }
        int line = found == null ? 1 : found.line();
        int column = found == null ? 1 : found.column();
        return new SettingsError(file, line, column, key + ": " + message);
    }
}
