package org.fuchsiadeck.core.config;

import java.util.HashSet;
import java.util.Set;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;

import static java.util.Objects.requireNonNull;

/**
 * The policies of one configuration that were asked for, kept until another configuration is in force or an exception
 * expires.
 *
 * @param config the configuration
 * @param fromWallMs the earliest wall-clock time for which the table holds, in milliseconds since 1970
 * @param untilWallMs the time from which it no longer holds, in milliseconds since 1970
 * @param keys the components of a subject that the exceptions match by
 * @param base the policy of a subject of which nothing is known
 * @param resolved the policies by subject, with the components that no exception matches by left empty
 */
public record PolicyCache(
        Configuration config,
        long fromWallMs,
        long untilWallMs,
        Set<String> keys,
        Policy base,
        Map<Subject, Policy> resolved) {
    /** The table of no configuration. */
    public static final PolicyCache EMPTY = of(Configuration.NONE, 0);

    private static final int MAX_RESOLVED = 8_192;

    public PolicyCache {
        requireNonNull(config, "config");
        keys = Set.copyOf(keys);
        requireNonNull(base, "base");
        requireNonNull(resolved, "resolved");
    }

    /**
     * Returns the empty table of a configuration at a time.
     *
     * @param config the configuration
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the table
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
     * Returns the table for a configuration at a time.
     *
     * @param now the configuration in force
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return this table if it holds, or an empty one
     */
    public PolicyCache validFor(Configuration now, long wallMs) {
        boolean holds = now == config && wallMs >= fromWallMs && wallMs < untilWallMs;
        return holds ? this : of(now, wallMs);
    }

    /**
     * Finds the policy of a subject.
     *
     * @param subject the subject
     * @return the values in force for it; none if the table has to be asked by {@link #withPolicyFor} first
     */
    public Option<Policy> find(Subject subject) {
        return keys.isEmpty() ? Option.some(base) : resolved.get(subject.retain(keys));
    }

    /**
     * Adds the policy of a subject.
     *
     * @param subject the subject
     * @return the table in which {@link #find} finds it
     */
    public PolicyCache withPolicyFor(Subject subject) {
        Subject key = subject.retain(keys);
        Map<Subject, Policy> kept = resolved.size() < MAX_RESOLVED ? resolved : HashMap.empty();
        Map<Subject, Policy> next = kept.put(key, config.policyFor(key, fromWallMs));
        return new PolicyCache(config, fromWallMs, untilWallMs, keys, base, next);
    }
}
