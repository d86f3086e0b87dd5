package org.fuchsiadeck.core.config;

import java.util.HashSet;
import java.util.Set;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

import static java.util.Objects.requireNonNull;

/**
 * The policies of one configuration that were asked for, kept until another configuration is in force or an exception
 * expires.
 *
 * @param config the configuration
 * @param fromWallMs the earliest wall-clock time for which the table holds, in milliseconds since 1970
 * @param untilWallMs the time from which it no longer holds, in milliseconds since 1970
 * @param keys the components of a subject that the exceptions match by
 * @param resolved the policies by subject, with the components that no exception matches by left empty
 */
public record PolicyTable(
        Configuration config, long fromWallMs, long untilWallMs, Set<String> keys, Map<Subject, Policy> resolved) {
    /** The table of no configuration. */
    public static final PolicyTable EMPTY = of(Configuration.NONE, 0);

    private static final int MAX_RESOLVED = 8_192;

    public PolicyTable {
        requireNonNull(config, "config");
        keys = Set.copyOf(keys);
        requireNonNull(resolved, "resolved");
    }

    /**
     * Returns the empty table of a configuration at a time.
     *
     * @param config the configuration
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return the table
     */
    public static PolicyTable of(Configuration config, long wallMs) {
        long from = Long.MIN_VALUE;
        long until = Long.MAX_VALUE;
        Set<String> keys = new HashSet<>();
        for (ExceptionRule rule : config.exceptions()) {
            if (rule.expired(wallMs)) {
                from = Math.max(from, rule.expiresWallMs().getAsLong());
                continue;
            }
            until = Math.min(until, rule.expiresWallMs().orElse(Long.MAX_VALUE));
            keys.addAll(rule.match().keySet());
        }
        return new PolicyTable(config, from, until, keys, HashMap.empty());
    }

    /**
     * Returns the table for a configuration at a time.
     *
     * @param now the configuration in force
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @return this table if it holds, or an empty one
     */
    public PolicyTable at(Configuration now, long wallMs) {
        boolean holds = now == config && wallMs >= fromWallMs && wallMs < untilWallMs;
        return holds ? this : of(now, wallMs);
    }

    /**
     * Adds the policy of a subject, unless it is there.
     *
     * @param subject the subject
     * @return the table; {@link #policy} finds the subject in it
     */
    public PolicyTable with(Subject subject) {
        Subject key = subject.only(keys);
        if (resolved.containsKey(key)) {
            return this;
        }
        Map<Subject, Policy> kept = resolved.size() < MAX_RESOLVED ? resolved : HashMap.empty();
        long wallMs = fromWallMs;
        Map<Subject, Policy> next = kept.put(key, config.policyFor(key, wallMs));
        return new PolicyTable(config, fromWallMs, untilWallMs, keys, next);
    }

    /**
     * Returns the policy of a subject.
     *
     * @param subject the subject
     * @return the values in force for it
     */
    public Policy policy(Subject subject) {
        Subject key = subject.only(keys);
        return resolved.get(key).getOrElse(() -> config.policyFor(key, fromWallMs));
    }
}
