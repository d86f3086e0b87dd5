package org.fuchsiadeck.core.rollout;

import java.util.function.Supplier;

/**
 * Result of one statistical check of a new version.
 *
 * @param logRatio natural logarithm of the likelihood ratio of worse rates to the old version's rate
 * @param description supplies the figures as text
 */
record CheckResult(double logRatio, Supplier<String> description) {
    /** Limit on the logarithm for one rate, which keeps its exponential finite. */
    private static final double MAX_LOG_RATIO = 600;

    /** Returns the logarithm of the likelihood ratio, averaged over the worse rates that exceed the baseline. */
    static double logRatio(long occurrences, long count, double baseline, double[] worse) {
        double sum = 0;
        int used = 0;
        for (double rate : worse) {
            if (rate > baseline) {
                double log = occurrences * Math.log(rate / baseline)
                        + (count - occurrences) * Math.log((1 - rate) / (1 - baseline));
                sum += Math.exp(Math.min(MAX_LOG_RATIO, log));
                used++;
            }
        }
        return used == 0 ? 0 : Math.log(sum / used);
    }
}
