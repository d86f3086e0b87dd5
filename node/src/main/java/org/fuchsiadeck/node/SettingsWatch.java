package org.fuchsiadeck.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.node.log.EventLog;
import org.fuchsiadeck.node.settings.LoadedSettings;
import org.fuchsiadeck.node.settings.SettingsFile;

/**
 * Reads the settings file anew when it has changed, or when it is told that it has.
 */
final class SettingsWatch implements AutoCloseable {
    /** A change without a signal is in force within a few seconds. */
    private static final long LOOK_MS = 2_000;

    private final Path file;
    private final Consumer<LoadedSettings> changed;
    private final EventLog log = new EventLog();
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "settings"));
    private byte[] known;

    /**
     * Creates a watch; {@link #start} starts it.
     *
     * @param file the settings file
     * @param changed takes settings that can be used
     */
    SettingsWatch(Path file, Consumer<LoadedSettings> changed) {
        this.file = file;
        this.changed = changed;
    }

    void start() {
        known = bytes();
        thread.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the file now. */
    void reload() {
        thread.execute(this::read);
    }

    private void look() {
        if (!Arrays.equals(known, bytes())) {
            read();
        }
    }

    private void read() {
        known = bytes();
        SettingsFile.read(file).peek(changed).peekLeft(e -> log.write(EventCode.SETTINGS_REJECTED, e.toString()));
    }

    private byte[] bytes() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            // Reading the settings gives the same error, with its place.
            return new byte[0];
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
