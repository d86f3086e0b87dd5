package org.fuchsiadeck.core.model;

/**
 * The identifier of an entry node.
 *
 * @param value a text that is unique in a deployment and across restarts
 */
public record NodeId(String value) implements Comparable<NodeId> {
    public NodeId {
        Checks.notBlank(value, "NodeId");
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    // Written out because the methods generated for records are several times slower in a process that has just
    // started.
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId id && value.equals(id.value);
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
