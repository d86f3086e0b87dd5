package org.fuchsiadeck.testbed.app;

import java.util.List;
import java.util.Random;

import static org.fuchsiadeck.testbed.app.AppFault.Kind.CLOSE;
import static org.fuchsiadeck.testbed.app.AppFault.Step.BEFORE_READING;

/**
 * Picks the fault that a request shows.
 */
final class FaultPicker {
    private final List<AppFault> faults;

    private final int[] shown;

    private final Random random;

    FaultPicker(AppFaults faults) {
        this.faults = faults.faults();
        this.shown = new int[this.faults.size()];
        this.random = new Random(faults.seed());
    }

    /** Tells whether the next request loses its connection before its body is read. */
    boolean closesBeforeReading(String route) {
        return pick(route, true) != null;
    }

    /** Gives the fault of the next request once its body is read, null for none. */
    AppFault next(String route) {
        return pick(route, false);
    }

    private synchronized AppFault pick(String route, boolean beforeReading) {
        for (int i = 0; i < shown.length; i++) {
            AppFault f = faults.get(i);
            boolean early = f.kind() == CLOSE && f.step() == BEFORE_READING;
            if (early == beforeReading && matches(f, i, route) && random.nextDouble() < f.probability()) {
                shown[i]++;
                return f;
            }
        }
        return null;
    }

    private boolean matches(AppFault f, int i, String route) {
        boolean left = f.count() == 0 || shown[i] < f.count();
        return left && (f.route() == null || f.route().equals(route));
    }
}
