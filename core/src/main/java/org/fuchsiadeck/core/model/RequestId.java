package org.fuchsiadeck.core.model;

/**
 * Names a caller's request.
 *
 * @param value unique over all entry nodes
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Checks.notBlank(value, "RequestId");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
