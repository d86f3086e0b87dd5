package org.fuchsiadeck.core.model;

/**
 * Names an availability zone.
 *
 * @param value the platform's name of the zone
 */
public record Zone(String value) implements Comparable<Zone> {
    public Zone {
        Checks.notBlank(value, "Zone");
    }

    @Override
    public int compareTo(Zone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
