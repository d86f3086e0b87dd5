package org.fuchsiadeck.testbed.engine;

import java.util.List;

/**
 * Faults of an engine.
 *
 * @param bad how versions are bad; the first that matches a request shows
 * @param seed seeds the probabilities
 */
public record EngineFaults(List<VersionFault> bad, long seed) {
    public EngineFaults {
        bad = bad == null ? List.of() : List.copyOf(bad);
    }

    /**
     * Gives the state without faults.
     *
     * @return no faults
     */
    public static EngineFaults none() {
        return new EngineFaults(List.of(), 0);
    }

    /**
     * Gives faults of versions.
     *
     * @param bad how versions are bad
     * @return the faults with the seed 0
     */
    public static EngineFaults of(VersionFault... bad) {
        return new EngineFaults(List.of(bad), 0);
    }
}
