package org.fuchsiadeck.core.model;

/**
 * Names a backend server.
 *
 * @param value unique in a deployment
 */
public record BackendId(String value) implements Comparable<BackendId> {
    public BackendId {
        Checks.notBlank(value, "BackendId");
    }

    @Override
    public int compareTo(BackendId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
