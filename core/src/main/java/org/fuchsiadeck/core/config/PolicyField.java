package org.fuchsiadeck.core.config;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import org.fuchsiadeck.core.model.Checks;

import static java.util.stream.Collectors.toUnmodifiableMap;

/**
 * The fields of a {@link Policy}, in the order of its components, with their names in a configuration file, units and
 * bounds.
 */
public enum PolicyField {
    CONNECT_TIMEOUT_MS(Unit.MILLISECONDS, 1, PolicyField.MAX_MS, Policy::connectTimeoutMs),
    FIRST_BYTE_TIMEOUT_MS(Unit.MILLISECONDS, 1, PolicyField.MAX_MS, Policy::firstByteTimeoutMs),
    CHUNK_TIMEOUT_MS(Unit.MILLISECONDS, 1, PolicyField.MAX_MS, Policy::chunkTimeoutMs),
    CONNECTION_MAX_AGE_MS(Unit.MILLISECONDS, 1, PolicyField.MAX_MS, Policy::connectionMaxAgeMs),
    FRESH_CONNECTION_MS(Unit.MILLISECONDS, 0, PolicyField.MAX_MS, Policy::freshConnectionMs),
    MAX_ATTEMPTS(Unit.COUNT, 1, 10, Policy::maxAttempts),
    RETRY_BUDGET_PERCENT(Unit.PERCENT, 0, 100, Policy::retryBudgetPercent),
    BACKEND_CONCURRENCY(Unit.COUNT, 1, 100_000, Policy::backendConcurrency),
    QUEUE_LIMIT(Unit.COUNT, 0, 1_000_000, Policy::queueLimit),
    SUSPECT_MS(Unit.MILLISECONDS, 0, PolicyField.MAX_MS, Policy::suspectMs),
    LEAVING_GRACE_MS(Unit.MILLISECONDS, 0, PolicyField.MAX_MS, Policy::leavingGraceMs),
    EARLY_SHARE_PERCENT(Unit.PERCENT, 0, 100, Policy::earlySharePercent),
    CLAIM_LIFETIME_MS(Unit.MILLISECONDS, 1_000, PolicyField.MAX_MS, Policy::claimLifetimeMs),
    WEIGHT(Unit.COUNT, 1, 10_000, Policy::weight),
    SHARED_SCHEDULING(Unit.COUNT, 0, 1, Policy::sharedScheduling);

    private static final long MAX_MS = 86_400_000;
    private static final Map<String, PolicyField> BY_KEY =
            Stream.of(values()).collect(toUnmodifiableMap(PolicyField::key, Function.identity()));

    private final Unit unit;
    private final long min;
    private final long max;
    private final ToLongFunction<Policy> getter;

    PolicyField(Unit unit, long min, long max, ToLongFunction<Policy> getter) {
        this.unit = unit;
        this.min = min;
        this.max = max;
        this.getter = getter;
    }

    /**
     * Finds a field by its name in a configuration file.
     *
     * @param key the name in snake case
     * @return the field; empty if there is none of this name
     */
    public static Optional<PolicyField> findByKey(String key) {
        return Optional.ofNullable(BY_KEY.get(key));
    }

    /**
     * Returns the field's name in a configuration file.
     *
     * @return the name in snake case
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the unit of the field's values.
     *
     * @return the unit
     */
    public Unit unit() {
        return unit;
    }

    /**
     * Returns the smallest allowed value.
     *
     * @return the lower bound, inclusive
     */
    public long min() {
        return min;
    }

    /**
     * Returns the largest allowed value.
     *
     * @return the upper bound, inclusive
     */
    public long max() {
        return max;
    }

    /**
     * Returns the value of the field in a policy.
     *
     * @param policy the policy
     * @return the value
     */
    public long get(Policy policy) {
        return getter.applyAsLong(policy);
    }

    /**
     * Checks a value against the field's bounds.
     *
     * @param value the value
     * @return the value
     * @throws IllegalArgumentException if it is out of bounds
     */
    public long check(long value) {
        return Checks.inRange(value, min, max, key());
    }

    /** Unit of a field's values. */
    public enum Unit {
        /** Milliseconds. */
        MILLISECONDS,
        /** Hundredths of a whole. */
        PERCENT,
        /** A number without a unit. */
        COUNT
    }
}
