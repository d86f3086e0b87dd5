package org.fuchsiadeck.core.directory;

import java.util.OptionalLong;

import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * Reads the entry of a backend server. Entries may come from other writers, so any text may come.
 */
@FunctionalInterface
public interface BackendDecoder {
    /**
     * Reads an entry.
     *
     * @param id the part of the key after its prefix
     * @param value the entry's value
     * @return the server, or why the value names none that can be used
     */
    Either<String, BackendEntry> decode(String id, String value);

    /**
     * A server's entry.
     *
     * @param backend the server
     * @param noticeMs how long the server still runs, in milliseconds; empty if it does not say
     */
    record BackendEntry(Backend backend, OptionalLong noticeMs) {
        public BackendEntry {
            requireNonNull(backend, "backend");
            requireNonNull(noticeMs, "noticeMs");
        }
    }
}
