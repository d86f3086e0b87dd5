package org.fuchsiadeck.core.model;

/**
 * The identifier of a backend server.
 *
 * @param value a text that is unique in a deployment
 */
public record BackendId(String value) implements Comparable<BackendId> {
    public BackendId {
        Checks.notBlank(value, "BackendId");
    }

    @Override
    public int compareTo(BackendId other) {
        return value.compareTo(other.value);
    }

    // Written out because the methods generated for records are several times slower in a process that has just
    // started.
    @Override
    public boolean equals(Object other) {
        return other instanceof BackendId id && value.equals(id.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
