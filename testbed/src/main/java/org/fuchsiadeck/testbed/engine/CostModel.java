package org.fuchsiadeck.testbed.engine;

import java.util.concurrent.TimeUnit;

/**
 * How long an engine takes for its work.
 *
 * @param prefillUs the time for one prompt token that the cache lacks, in microseconds
 * @param stepUs the time of a decode step whatever the load, in microseconds
 * @param runningUs the time that each running request adds to a decode step, in microseconds
 * @param importUs the time for one token of an imported KV cache, in microseconds
 */
public record CostModel(long prefillUs, long stepUs, long runningUs, long importUs) {
    /**
     * Gives the costs of a mid-sized model.
     *
     * @return 200 us a prompt token, steps of 8 ms and 300 us for each request, 5 us an imported token
     */
    public static CostModel usual() {
        return new CostModel(200, 8_000, 300, 5);
    }

    /**
     * Gives a model in which work takes no time, for measuring what relays answers.
     *
     * @return no cost
     */
    public static CostModel free() {
        return new CostModel(0, 0, 0, 0);
    }

    long stepNanos(int running, int prefilled, int imported) {
        long us = stepUs + runningUs * running + prefillUs * prefilled + importUs * imported;
        return TimeUnit.MICROSECONDS.toNanos(us);
    }
}
