package org.fuchsiadeck.core.request;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;

/**
 * Counts the outcomes of requests, their dispatches and events of backend servers since the node started.
 *
 * @param answered requests answered completely
 * @param refused requests refused without having run, by reason
 * @param unknown requests that ended with an unknown outcome, by reason
 * @param duplicates requests rejected as duplicates of an earlier one
 * @param callersGone requests whose caller disconnected
 * @param dispatches attempts dispatched, by cause
 * @param recomputedTokens tokens that were computed again, by the cause of the attempt
 * @param stale answers dropped because they match no attempt in progress
 * @param suspicions number of times that a backend server became suspected
 * @param pauses number of times that a backend server asked for a pause
 * @param queueing events of the queue order under shared scheduling, by name; empty without it
 */
public record RequestCounters(
        long answered,
        Map<String, Long> refused,
        Map<String, Long> unknown,
        long duplicates,
        long callersGone,
        Map<DispatchCause, Long> dispatches,
        Map<DispatchCause, Long> recomputedTokens,
        long stale,
        long suspicions,
        long pauses,
        Map<String, Long> queueing) {
    /** Counters that are all zero. */
    public static final RequestCounters ZERO = new RequestCounters(
            0, TreeMap.empty(), TreeMap.empty(), 0, 0, TreeMap.empty(), TreeMap.empty(), 0, 0, 0, TreeMap.empty());

    /**
     * Returns the number of attempts dispatched.
     *
     * @return the number of attempts, of all causes
     */
    public long dispatched() {
        return dispatches.values().foldLeft(0L, Long::sum);
    }

    RequestCounters plusAnswered() {
        return new RequestCounters(
                answered + 1,
                refused,
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusRefused(String reason) {
        return new RequestCounters(
                answered,
                add(refused, reason, 1),
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusUnknown(String reason) {
        return new RequestCounters(
                answered,
                refused,
                add(unknown, reason, 1),
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusDuplicate() {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates + 1,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusCallerGone() {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone + 1,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusDispatch(DispatchCause cause) {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone,
                add(dispatches, cause, 1),
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusRecomputed(DispatchCause cause, int tokens) {
        return tokens == 0
                ? this
                : new RequestCounters(
                        answered,
                        refused,
                        unknown,
                        duplicates,
                        callersGone,
                        dispatches,
                        add(recomputedTokens, cause, tokens),
                        stale,
                        suspicions,
                        pauses,
                        queueing);
    }

    RequestCounters plusStale() {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale + 1,
                suspicions,
                pauses,
                queueing);
    }

    RequestCounters plusSuspicion() {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions + 1,
                pauses,
                queueing);
    }

    RequestCounters plusPause() {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses + 1,
                queueing);
    }

    /** Counts an event of the queue order: {@code aged}, {@code overtaken} or {@code early_refused}. */
    RequestCounters plusQueueing(String event) {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses,
                add(queueing, event, 1));
    }

    private static <K> Map<K, Long> add(Map<K, Long> counts, K key, long amount) {
        return counts.put(key, counts.getOrElse(key, 0L) + amount);
    }
}
