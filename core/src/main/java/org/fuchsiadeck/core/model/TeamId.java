package org.fuchsiadeck.core.model;

/**
 * Names a team of callers.
 *
 * @param value the team's name in the configuration
 */
public record TeamId(String value) implements Comparable<TeamId> {
    public TeamId {
        Checks.notBlank(value, "TeamId");
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
