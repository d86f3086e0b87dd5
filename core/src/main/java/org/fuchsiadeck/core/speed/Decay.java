package org.fuchsiadeck.core.speed;

/** The decay of sums, which forgets old observations. */
final class Decay {
    /**
     * Time after which an observation counts half, in milliseconds. Differences between servers last as long as the
     * servers, so that a long memory is affordable; short slowdowns are known from reports.
     */
    static final double HALF_LIFE_MS = 120_000;

    private Decay() {}

    /** Returns the factor for sums of a given age in milliseconds. */
    static double factor(long ageMs) {
        return ageMs <= 0 ? 1 : StrictMath.pow(2, -ageMs / HALF_LIFE_MS);
    }
}
