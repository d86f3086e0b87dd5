package org.fuchsiadeck.testbed.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Picks the fault that a request shows. One thread uses it.
 */
final class FaultPicker {
    private final EngineFaults faults;

    private final Random random;

    private final Map<String, Integer> requests = new HashMap<>();

    FaultPicker(EngineFaults faults) {
        this.faults = faults;
        this.random = new Random(faults.seed());
    }

    /** Gives the fault of the next request, null for none. */
    VersionFault next(String version, String route, int running) {
        int before = requests.merge(version, 1, Integer::sum) - 1;
        for (VersionFault f : faults.bad()) {
            if (matches(f, version, route, running, before) && random.nextDouble() < f.probability()) {
                return f;
            }
        }
        return null;
    }

    private static boolean matches(VersionFault f, String version, String route, int running, int before) {
        return f.version().equals(version)
                && before >= f.afterRequests()
                && (f.aboveRunning() == 0 || running > f.aboveRunning())
                && (f.route() == null || f.route().equals(route));
    }
}
