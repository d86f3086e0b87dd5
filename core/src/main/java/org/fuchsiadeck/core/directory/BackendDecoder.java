package org.fuchsiadeck.core.directory;

import java.util.OptionalLong;

import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * Parses the entry that a backend server registers in the platform's service. Other writers can write these entries too, so
 * the value may be any text.
 */
@FunctionalInterface
public interface BackendDecoder {
    /**
     * Parses an entry.
     *
     * @param id the part of the key after its prefix
     * @param value the entry's value
     * @return the server, or the reason why the value is not usable
     */
    Either<String, BackendEntry> decode(String id, String value);

    /**
     * The content of a server's entry.
     *
     * @param backend the server
     * @param noticeMs how long the server still runs, in milliseconds; empty if the entry does not state it
     */
    record BackendEntry(Backend backend, OptionalLong noticeMs) {
        public BackendEntry {
            requireNonNull(backend, "backend");
            requireNonNull(noticeMs, "noticeMs");
        }
    }
}
