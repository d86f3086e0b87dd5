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
record Counts(long bad, long count) {
    static final Counts NONE = new Counts(0, 0);

    Counts plus(Counts other) {
        return new Counts(bad + other.bad, count + other.count);
    }

    /** Counts the attempts of a version by a key of their cells, in one pass. */
    static <K> Map<K, Counts> of(Evidence evidence, String version, Function<Evidence.Cell, K> key) {
        Map<K, Counts> out = new HashMap<>();
        evidence.cells().forEach((cell, tally) -> {
            if (cell.version().equals(version)) {
                out.merge(key.apply(cell), new Counts(tally.bad(), tally.count()), Counts::plus);
            }
        });
        return out;
    }
}
