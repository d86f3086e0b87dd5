package org.fuchsiadeck.testbed.kv;

import static java.util.Objects.requireNonNull;

/**
 * A key with its value at a revision.
 *
 * @param key the key
 * @param value the value, null in a watch for a deletion
 * @param revision the revision of the write
 */
public record KvEntry(String key, String value, long revision) {
    public KvEntry {
        requireNonNull(key, "key");
    }
}
