package org.fuchsiadeck.core.config;

import java.util.HashSet;
import java.util.Set;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;

import static java.util.Objects.requireNonNull;

/**
 * Caches the resolved policies of subjects for one configuration. A cache is valid until another configuration is in
 * force or an exception expires. As the wall clock may go back, it is also invalid before the latest past expiry.
 *
 * @param config the configuration
 * @param fromWallMs the wall-clock time from which the cache is valid, in milliseconds since 1970
 * @param untilWallMs the time from which it is no longer valid, in milliseconds since 1970
 * @param keys the names of the subject components that the unexpired exceptions match by
 * @param base the policy of a subject without any known component
 * @param resolved the cached policies by subject; components that are not in {@code keys} are left empty
 */
public record PolicyCache(
        Configuration config,
        long fromWallMs,
        long untilWallMs,
        Set<String> keys,
        Policy base,
        Map<Subject, Policy> resolved) {
    /** The empty cache of {@link Configuration#NONE}. */
    public static final PolicyCache EMPTY = of(Configuration.NONE, 0);

    /** Cached policies; a full cache is cleared before the next one is added. */
    private static final int MAX_RESOLVED = 8_192;

    public PolicyCache {
        requireNonNull(config, "config");
        keys = Set.copyOf(keys);
        requireNonNull(base, "base");
        requireNonNull(resolved, "resolved");
    }

    /**
     * Returns an empty cache for a configuration at a time.
     *
     * @param config the configuration
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the cache
     */
    public static PolicyCache of(Configuration config, long wallMs) {
        long from = Long.MIN_VALUE;
        long until = Long.MAX_VALUE;
        Set<String> keys = new HashSet<>();
        for (ExceptionRule rule : config.exceptions()) {
            if (rule.isExpired(wallMs)) {
                from = Math.max(from, rule.expiresWallMs().getAsLong());
                continue;
            }
            until = Math.min(until, rule.expiresWallMs().orElse(Long.MAX_VALUE));
            keys.addAll(rule.match().keySet());
        }
        Policy base = config.policyFor(Subject.NONE, wallMs);
        return new PolicyCache(config, from, until, keys, base, HashMap.empty());
    }

    /**
     * Returns a cache that is valid for a configuration at a time.
     *
     * @param current the configuration in force
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return this cache if it is valid, otherwise an empty one
     */
    public PolicyCache validFor(Configuration current, long wallMs) {
        boolean valid = current == config && wallMs >= fromWallMs && wallMs < untilWallMs;
        return valid ? this : of(current, wallMs);
    }

    /**
     * Looks up the policy of a subject.
     *
     * @param subject the subject
     * @return the policy; none if it must be added by {@link #withPolicyFor} first
     */
    public Option<Policy> find(Subject subject) {
        return keys.isEmpty() ? Option.some(base) : resolved.get(subject.retain(keys));
    }

    /**
     * Resolves the policy of a subject and adds it.
     *
     * @param subject the subject
     * @return the cache in which {@link #find} returns the policy
     */
    public PolicyCache withPolicyFor(Subject subject) {
        Subject key = subject.retain(keys);
        Map<Subject, Policy> kept = resolved.size() < MAX_RESOLVED ? resolved : HashMap.empty();
        Map<Subject, Policy> next = kept.put(key, config.policyFor(key, fromWallMs));
        return new PolicyCache(config, fromWallMs, untilWallMs, keys, base, next);
    }
}
