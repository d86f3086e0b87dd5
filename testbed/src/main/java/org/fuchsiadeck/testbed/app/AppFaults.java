package org.fuchsiadeck.testbed.app;

import java.util.List;

/**
 * Faults of an application.
 *
 * @param faults the faults; the first that matches a request shows
 * @param seed seeds the probabilities
 */
public record AppFaults(List<AppFault> faults, long seed) {
    public AppFaults {
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /**
     * Gives the state without faults.
     *
     * @return no faults
     */
    public static AppFaults none() {
        return new AppFaults(List.of(), 0);
    }

    /**
     * Gives faults.
     *
     * @param faults the faults
     * @return the faults with the seed 0
     */
    public static AppFaults of(AppFault... faults) {
        return new AppFaults(List.of(faults), 0);
    }
}
