package org.fuchsiadeck.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * How many attempts were seen, and how many of them gave no whole answer.
 *
 * @param bad attempts without a whole answer
 * @param count all attempts
 */
record AttemptCounts(long bad, long count) {
    static final AttemptCounts NONE = new AttemptCounts(0, 0);

    AttemptCounts plus(AttemptCounts other) {
        return new AttemptCounts(bad + other.bad, count + other.count);
    }

    /** Counts the attempts of a version by a key of their cells, in one pass. */
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
