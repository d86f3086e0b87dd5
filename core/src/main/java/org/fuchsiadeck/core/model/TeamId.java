package org.fuchsiadeck.core.model;

/**
 * The identifier of a team of callers.
 *
 * @param value the name of the team in the configuration
 */
public record TeamId(String value) implements Comparable<TeamId> {
    public TeamId {
        Checks.notBlank(value, "TeamId");
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    // Written out because the methods generated for records are several times slower in a process that has just
    // started.
    @Override
    public boolean equals(Object other) {
        return other instanceof TeamId id && value.equals(id.value);
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
