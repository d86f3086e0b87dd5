package org.fuchsiadeck.core.quarantine;

import java.util.Collection;

import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A set of prompt parts whose combination crashes backend servers: the lost attempts had all of them in common, and none
 * of them is known to be harmless. Requests that contain the whole set are rejected.
 *
 * @param parts the parts
 * @param firstLossMs the time of the first loss that the quarantine is based on, in milliseconds
 * @param sinceMs the time at which the quarantine began, in milliseconds
 * @param level how often it has begun; its duration doubles each time
 * @param trialEndMs the time until which the result of a trial is awaited, in milliseconds; 0 if there is no trial
 */
public record Quarantine(TreeSet<String> parts, long firstLossMs, long sinceMs, int level, long trialEndMs) {
    private static final long FIRST_DURATION_MS = 30_000;
    private static final int MAX_DOUBLINGS = 7;

    /** Attempts dispatched sooner after the start come from nodes that had not learned of it. */
    private static final long PROPAGATION_MS = 1_000;

    public Quarantine {
        requireNonNull(parts, "parts");
        Checks.inRange(level, 1, Integer.MAX_VALUE, "level");
    }

    static Quarantine start(TreeSet<String> parts, long firstLossMs, long nowMs) {
        return new Quarantine(parts, firstLossMs, nowMs, 1, 0);
    }

    /**
     * Returns the time from which a single request may be tried.
     *
     * @return the time, in milliseconds
     */
    public long untilMs() {
        return sinceMs + (FIRST_DURATION_MS << Math.min(level - 1, MAX_DOUBLINGS));
    }

    /**
     * Returns whether a request is subject to the quarantine.
     *
     * @param requestParts the parts of the request's prompt
     * @return whether it contains all parts of the quarantine
     */
    public boolean covers(Collection<String> requestParts) {
        return requestParts.containsAll(parts.toJavaSet());
    }

    /** Returns whether a loss is due to the parts, as far as is known. */
    boolean explains(PromptLoss loss) {
        return loss.parts().containsAll(parts);
    }

    /** Returns whether a loss shows that the parts still crash servers. */
    boolean isConfirmedBy(PromptLoss loss) {
        return loss.dispatchedMs() > sinceMs + PROPAGATION_MS;
    }

    Quarantine renewed(long nowMs) {
        return new Quarantine(parts, firstLossMs, nowMs, level + 1, 0);
    }

    Quarantine withTrial(long endMs) {
        return new Quarantine(parts, firstLossMs, sinceMs, level, endMs);
    }

    /** Returns the quarantine without the parts that answers show to be harmless; none if all of them are. */
    Option<Quarantine> without(AnsweredParts answered) {
        TreeSet<String> rest = parts.reject(p -> answered.lastMs(p) > firstLossMs);
        return rest.isEmpty()
                ? Option.none()
                : Option.some(new Quarantine(answered.withoutAnswered(rest), firstLossMs, sinceMs, level, trialEndMs));
    }
}
