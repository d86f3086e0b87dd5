package org.fuchsiadeck.core.model;

/**
 * The name of an availability zone.
 *
 * @param value the platform's name for the zone
 */
public record Zone(String value) implements Comparable<Zone> {
    public Zone {
        Checks.notBlank(value, "Zone");
    }

    @Override
    public int compareTo(Zone other) {
        return value.compareTo(other.value);
    }

    // Written out because the methods generated for records are several times slower in a process that has just
    // started.
    @Override
    public boolean equals(Object other) {
        return other instanceof Zone id && value.equals(id.value);
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
