package org.fuchsiadeck.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Number of attempts, and of those without a whole answer.
 *
 * @param bad attempts without a whole answer
 * @param count all attempts
 */
record AttemptCounts(long bad, long count) {
    static final AttemptCounts NONE = new AttemptCounts(0, 0);

    AttemptCounts plus(AttemptCounts other) {
        return new AttemptCounts(bad + other.bad, count + other.count);
    }

    /** Counts the attempts of a version in one pass, grouped by a key derived from their cells. */
    static <K> Map<K, AttemptCounts> groupedBy(Evidence evidence, String version, Function<Evidence.Cell, K> key) {
        Map<K, AttemptCounts> out = new HashMap<>();
        evidence.cells().forEach((cell, tally) -> {
            if (cell.version().equals(version)) {
                out.merge(key.apply(cell), new AttemptCounts(tally.bad(), tally.count()), AttemptCounts::plus);
            }
        });
        return out;
    }
}
