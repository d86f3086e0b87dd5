package org.fuchsiadeck.core.model;

/**
 * Names an entry node.
 *
 * @param value unique in a deployment and over restarts
 */
public record NodeId(String value) implements Comparable<NodeId> {
    public NodeId {
        Checks.notBlank(value, "NodeId");
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
