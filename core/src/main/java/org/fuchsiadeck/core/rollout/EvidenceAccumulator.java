package org.fuchsiadeck.core.rollout;

import java.util.HashMap;
import java.util.Map;

import io.vavr.collection.TreeMap;

/**
 * Sums up the evidence of several nodes in mutable maps.
 */
final class EvidenceAccumulator {
    private final Map<Evidence.Cell, CellSum> cells = new HashMap<>();

    void add(Evidence evidence) {
        evidence.cells()
                .forEach((cell, tally) ->
                        cells.computeIfAbsent(cell, c -> new CellSum()).add(tally));
    }

    Evidence toEvidence() {
        io.vavr.collection.Map<Evidence.Cell, Tally> sums = TreeMap.empty();
        for (Map.Entry<Evidence.Cell, CellSum> entry : cells.entrySet()) {
            sums = sums.put(entry.getKey(), entry.getValue().tally());
        }
        return new Evidence(sums);
    }

    private static final class CellSum {
        private final Map<Integer, Long> firstByte = new HashMap<>();
        private final Map<Integer, Long> perToken = new HashMap<>();
        private long good;
        private long failed;
        private long corrupt;

        void add(Tally tally) {
            good += tally.good();
            failed += tally.failed();
            corrupt += tally.corrupt();
            add(firstByte, tally.firstByte());
            add(perToken, tally.perToken());
        }

        Tally tally() {
            return new Tally(
                    good,
                    failed,
                    corrupt,
                    new Histogram(TreeMap.ofAll(firstByte)),
                    new Histogram(TreeMap.ofAll(perToken)));
        }

        private static void add(Map<Integer, Long> sums, Histogram histogram) {
            histogram.counts().forEach((bucket, count) -> sums.merge(bucket, count, Long::sum));
        }
    }
}
