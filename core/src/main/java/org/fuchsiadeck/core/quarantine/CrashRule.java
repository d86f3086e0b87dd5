package org.fuchsiadeck.core.quarantine;

import java.util.Comparator;
import java.util.List;

import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The rule by which lost attempts are attributed to a part of their prompts.
 *
 * <p>A loss counts if the part was not answered after the dispatch, and the server has had time to answer others, which
 * would show that it only closed a connection. Servers may crash together for a reason of their own,
 * and then many prompts are lost at once; so losses count as several crashes only if they came one after the other, each
 * of an attempt that was dispatched after the loss before it.
 */
final class CrashRule {
    /** Time in which a server that is up answers some attempt that was dispatched after the loss. */
    static final long CONFIRMATION_MS = 500;

    private static final int MIN_REQUESTS = 2;
    static final int MIN_CRASHES = 3;

    /** Crashes needed for a part that was answered before: it was harmless then, and others are more likely to blame. */
    private static final int MIN_CRASHES_IF_ANSWERED = 5;

    private CrashRule() {}

    /** Returns the quarantine that follows from losses that all have a part, if there are enough of them. */
    static Option<Quarantine> verdict(String part, Vector<PromptLoss> losses, AnsweredParts answered, long nowMs) {
        List<PromptLoss> counted = losses.filter(l -> l.lostMs() <= nowMs - CONFIRMATION_MS)
                .filter(l -> isCounted(l, part, answered))
                .groupBy(PromptLoss::server)
                .values()
                .map(CrashRule::withMostParts)
                .toJavaList();
        int needed = answered.contains(part) ? MIN_CRASHES_IF_ANSWERED : MIN_CRASHES;
        long requests = counted.stream().map(PromptLoss::request).distinct().count();
        if (requests < MIN_REQUESTS || sequentialCrashes(counted) < needed) {
            return Option.none();
        }
        TreeSet<String> common = counted.stream()
                .map(PromptLoss::parts)
                .reduce(TreeSet::intersect)
                .get();
        long firstMs = counted.stream().mapToLong(PromptLoss::lostMs).min().getAsLong();
        return Option.some(Quarantine.start(answered.withoutAnswered(common), firstMs, nowMs));
    }

    /** Returns whether a loss may be due to a part: an answer that came later shows that the part was harmless. */
    static boolean isCounted(PromptLoss loss, String part, AnsweredParts answered) {
        return loss.dispatchedMs() > answered.lastMs(part);
    }

    /** Of the requests lost at one server, the one with most parts can explain the loss of the others. */
    private static PromptLoss withMostParts(Vector<PromptLoss> losses) {
        return losses.maxBy(l -> l.parts().size()).get();
    }

    private static int sequentialCrashes(List<PromptLoss> losses) {
        int crashes = 0;
        long lastMs = Long.MIN_VALUE;
        List<PromptLoss> ordered = losses.stream()
                .sorted(Comparator.comparingLong(PromptLoss::lostMs))
                .toList();
        for (PromptLoss loss : ordered) {
            if (loss.dispatchedMs() >= lastMs) {
                crashes++;
                lastMs = loss.lostMs();
            }
        }
        return crashes;
    }
}
