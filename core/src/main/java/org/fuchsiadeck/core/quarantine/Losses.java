package org.fuchsiadeck.core.quarantine;

import java.util.function.Predicate;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Traversable;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * Lost attempts, found by attempt, part or server without a search through all of them.
 *
 * @param byAttempt the losses by attempt
 * @param byPart the losses of each part, by attempt
 * @param byServer the losses at each server, by attempt
 * @param seen the time at which the loss of each attempt first arrived, in milliseconds; cleared losses are included
 */
public record Losses(
        Map<Attempt, PromptLoss> byAttempt,
        Map<String, Map<Attempt, PromptLoss>> byPart,
        Map<BackendId, Map<Attempt, PromptLoss>> byServer,
        Map<Attempt, Long> seen) {
    static final Losses NONE = new Losses(HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty());

    public Losses {
        requireNonNull(byAttempt, "byAttempt");
        requireNonNull(byPart, "byPart");
        requireNonNull(byServer, "byServer");
        requireNonNull(seen, "seen");
    }

    /**
     * Identifies an attempt.
     *
     * @param server the server
     * @param request the request
     */
    public record Attempt(BackendId server, RequestId request) {
        public Attempt {
            requireNonNull(server, "server");
            requireNonNull(request, "request");
        }

        static Attempt of(PromptLoss loss) {
            return new Attempt(loss.server(), loss.request());
        }
    }

    boolean contains(PromptLoss loss) {
        return byAttempt.containsKey(Attempt.of(loss));
    }

    /**
     * Returns whether a loss has arrived before, even if it was cleared since. Times are sent as ages, which do not include the
     * time of the message, so that a copy that arrives later cannot be compared with the answer that cleared the loss.
     */
    boolean isSeen(PromptLoss loss) {
        return seen.containsKey(Attempt.of(loss));
    }

    int seenSize() {
        return seen.size();
    }

    Losses withSeen(PromptLoss loss, long nowMs) {
        return new Losses(byAttempt, byPart, byServer, seen.put(Attempt.of(loss), nowMs));
    }

    Losses withoutSeenBefore(long fromMs) {
        return new Losses(byAttempt, byPart, byServer, seen.filterValues(ms -> ms >= fromMs));
    }

    Losses with(PromptLoss loss) {
        Attempt attempt = Attempt.of(loss);
        Map<String, Map<Attempt, PromptLoss>> parts = byPart;
        for (String part : loss.parts()) {
            parts = withEntry(parts, part, attempt, loss);
        }
        return new Losses(byAttempt.put(attempt, loss), parts, withEntry(byServer, loss.server(), attempt, loss), seen);
    }

    private static <K> Map<K, Map<Attempt, PromptLoss>> withEntry(
            Map<K, Map<Attempt, PromptLoss>> index, K key, Attempt attempt, PromptLoss loss) {
        return index.put(key, index.get(key).getOrElse(HashMap.empty()).put(attempt, loss));
    }

    private Losses without(PromptLoss loss) {
        Attempt attempt = Attempt.of(loss);
        Map<String, Map<Attempt, PromptLoss>> parts = byPart;
        for (String part : loss.parts()) {
            parts = withoutEntry(parts, part, attempt);
        }
        return new Losses(byAttempt.remove(attempt), parts, withoutEntry(byServer, loss.server(), attempt), seen);
    }

    private static <K> Map<K, Map<Attempt, PromptLoss>> withoutEntry(
            Map<K, Map<Attempt, PromptLoss>> index, K key, Attempt attempt) {
        Map<Attempt, PromptLoss> rest =
                index.get(key).getOrElse(HashMap.empty()).remove(attempt);
        return rest.isEmpty() ? index.remove(key) : index.put(key, rest);
    }

    /** Returns the losses without those of the given ones that match the condition. */
    Losses withoutIf(Traversable<PromptLoss> candidates, Predicate<PromptLoss> condition) {
        Losses next = this;
        for (PromptLoss loss : candidates) {
            next = condition.test(loss) ? next.without(loss) : next;
        }
        return next;
    }

    Traversable<PromptLoss> all() {
        return byAttempt.values();
    }

    Traversable<PromptLoss> ofPart(String part) {
        return valuesOf(byPart, part);
    }

    Traversable<PromptLoss> ofServer(BackendId server) {
        return valuesOf(byServer, server);
    }

    private static <K> Traversable<PromptLoss> valuesOf(Map<K, Map<Attempt, PromptLoss>> index, K key) {
        return index.get(key).getOrElse(HashMap.empty()).values();
    }

    int size() {
        return byAttempt.size();
    }

    boolean isEmpty() {
        return byAttempt.isEmpty();
    }
}
