package org.fuchsiadeck.core.model;

/**
 * The identifier of a caller's request.
 *
 * @param value a text that is unique across all entry nodes
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Checks.notBlank(value, "RequestId");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    // Written out because the methods generated for records are several times slower in a process that has just
    // started.
    @Override
    public boolean equals(Object other) {
        return other instanceof RequestId id && value.equals(id.value);
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
