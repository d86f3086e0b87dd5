package org.fuchsiadeck.node.rollout;

import java.util.List;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.Histogram;
import org.fuchsiadeck.core.rollout.Tally;
import org.fuchsiadeck.node.peer.generated.ProtoCell;
import org.fuchsiadeck.node.peer.generated.ProtoHistogram;

/**
 * Turns evidence into its protobuf form and back.
 */
final class EvidenceProtos {
    private EvidenceProtos() {}

    static List<ProtoCell> write(Evidence evidence) {
        return evidence.cells().map(entry -> write(entry._1, entry._2)).toJavaList();
    }

    static Evidence read(List<ProtoCell> cells) {
        Evidence evidence = Evidence.EMPTY;
        for (ProtoCell c : cells) {
            Evidence.Cell cell = new Evidence.Cell(c.getVersion(), c.getRoute(), c.getBand());
            Tally tally = new Tally(
                    c.getGood(), c.getFailed(), c.getCorrupt(), read(c.getFirstByte()), read(c.getPerToken()));
            evidence = evidence.plus(new Evidence(TreeMap.of(cell, tally)));
        }
        return evidence;
    }

    private static ProtoCell write(Evidence.Cell cell, Tally tally) {
        return ProtoCell.newBuilder()
                .setVersion(cell.version())
                .setRoute(cell.route())
                .setBand(cell.band())
                .setGood(tally.good())
                .setFailed(tally.failed())
                .setCorrupt(tally.corrupt())
                .setFirstByte(write(tally.firstByte()))
                .setPerToken(write(tally.perToken()))
                .build();
    }

    private static ProtoHistogram write(Histogram histogram) {
        ProtoHistogram.Builder out = ProtoHistogram.newBuilder();
        histogram.counts().forEach((bucket, count) -> out.addBucket(bucket).addCount(count));
        return out.build();
    }

    private static Histogram read(ProtoHistogram proto) {
        if (proto.getBucketCount() != proto.getCountCount()) {
            throw new IllegalArgumentException("a histogram must have as many counts as buckets");
        }
        SortedMap<Integer, Long> counts = TreeMap.empty();
        for (int i = 0; i < proto.getBucketCount(); i++) {
            counts = counts.put(proto.getBucket(i), proto.getCount(i));
        }
        return new Histogram(counts);
    }
}
