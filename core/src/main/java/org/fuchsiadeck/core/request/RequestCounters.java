package org.fuchsiadeck.core.request;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;

/**
 * What has been counted since the node started.
 *
 * @param answered requests answered whole
 * @param refused requests refused as not run, by reason
 * @param unknown requests answered as of unknown outcome, by reason
 * @param duplicates requests answered as duplicates
 * @param callersGone requests whose caller left
 * @param dispatches attempts by cause
 * @param recomputedTokens tokens computed again, by the cause of the attempt
 * @param stale answers dropped because they match no waiting attempt
 * @param suspicions times a backend server was suspected
 * @param pauses times a backend server asked for a pause
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
        long pauses) {
    /** Nothing has been counted. */
    public static final RequestCounters ZERO =
            new RequestCounters(0, TreeMap.empty(), TreeMap.empty(), 0, 0, TreeMap.empty(), TreeMap.empty(), 0, 0, 0);

    /**
     * Returns how many attempts were dispatched.
     *
     * @return the attempts of every cause
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
                pauses);
    }

    RequestCounters plusRefused(String reason) {
        return new RequestCounters(
                answered,
                plus(refused, reason, 1),
                unknown,
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses);
    }

    RequestCounters plusUnknown(String reason) {
        return new RequestCounters(
                answered,
                refused,
                plus(unknown, reason, 1),
                duplicates,
                callersGone,
                dispatches,
                recomputedTokens,
                stale,
                suspicions,
                pauses);
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
                pauses);
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
                pauses);
    }

    RequestCounters plusDispatch(DispatchCause cause) {
        return new RequestCounters(
                answered,
                refused,
                unknown,
                duplicates,
                callersGone,
                plus(dispatches, cause, 1),
                recomputedTokens,
                stale,
                suspicions,
                pauses);
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
                        plus(recomputedTokens, cause, tokens),
                        stale,
                        suspicions,
                        pauses);
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
                pauses);
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
                pauses);
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
                pauses + 1);
    }

    private static <K> Map<K, Long> plus(Map<K, Long> counts, K key, long more) {
        return counts.put(key, counts.getOrElse(key, 0L) + more);
    }
}
