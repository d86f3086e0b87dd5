package org.fuchsiadeck.core.rollout;

import java.util.function.Supplier;

/**
 * What one test of a sequential rule found.
 *
 * @param logRatio the logarithm of the likelihood ratio of worse rates against the old version's
 * @param description gives the figures
 */
record CheckResult(double logRatio, Supplier<String> description) {
    /** The greatest logarithm of one rate's ratio, so that its exponential is finite. */
    private static final double MAX_LOG_RATIO = 600;

    /** Returns the logarithm of the likelihood ratio, averaged over the worse rates. */
    static double logRatio(long hits, long count, double base, double[] worse) {
        double sum = 0;
        int used = 0;
        for (double rate : worse) {
            if (rate > base) {
                double log = hits * Math.log(rate / base) + (count - hits) * Math.log((1 - rate) / (1 - base));
                sum += Math.exp(Math.min(MAX_LOG_RATIO, log));
                used++;
            }
        }
        return used == 0 ? 0 : Math.log(sum / used);
    }
}
