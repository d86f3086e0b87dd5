package org.fuchsiadeck.core.quarantine;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;

/**
 * The prompt parts of recently answered requests. Kept in two generations, so that the oldest parts can be dropped
 * without ordering them.
 *
 * @param recent the time of the last answer by part, in milliseconds
 * @param older the same for parts of the generation before
 */
public record AnsweredParts(Map<String, Long> recent, Map<String, Long> older) {
    static final AnsweredParts NONE = new AnsweredParts(HashMap.empty(), HashMap.empty());

    /** Time of the last answer to a part that no known answer contained. */
    private static final long NEVER = Long.MIN_VALUE;

    private static final int GENERATION_SIZE = 2_048;

    AnsweredParts with(String part, long atMs) {
        Map<String, Long> next = recent.put(part, Math.max(atMs, lastMs(part)));
        return next.size() > GENERATION_SIZE
                ? new AnsweredParts(HashMap.empty(), next)
                : new AnsweredParts(next, older);
    }

    /** Returns the time of the last known answer, in milliseconds, or a time before all others if none is known. */
    long lastMs(String part) {
        return recent.get(part).orElse(older.get(part)).getOrElse(NEVER);
    }

    boolean contains(String part) {
        return lastMs(part) != NEVER;
    }

    /** Returns the parts that were never answered; all of them if each was. */
    TreeSet<String> withoutAnswered(TreeSet<String> parts) {
        TreeSet<String> unanswered = parts.reject(this::contains);
        return unanswered.isEmpty() ? parts : unanswered;
    }
}
