package org.fuchsiadeck.core.config;

import java.util.Map;

/**
 * The tunable values that defaults give and exceptions change. The names of the components, in snake case, are the
 * names that a configuration file uses.
 *
 * @param connectTimeoutMs longest wait for a connection to a backend server, in milliseconds
 * @param firstByteTimeoutMs longest wait for the first byte of an answer, in milliseconds
 * @param chunkTimeoutMs longest silence within a streamed answer, in milliseconds
 * @param connectionMaxAgeMs age at which an idle connection is no longer used, in milliseconds
 * @param freshConnectionMs how recently a connection must have answered to carry a request that is not idempotent
 * @param maxAttempts most dispatches of one request, 1 or more
 * @param retryBudgetPercent retries allowed for each hundred fresh requests of a node
 * @param backendConcurrency most requests in progress from one node at one backend server
 * @param queueLimit most requests that wait in one node for one service
 * @param suspectMs how long a suspected backend server gets no new work, in milliseconds
 * @param leavingGraceMs how long before the end of a notice a stream is moved, in milliseconds
 * @param earlySharePercent greatest share of a new version before its verdict, in percent
 * @param claimLifetimeMs how long an idempotency key is remembered, in milliseconds
 * @param weight how much the subject counts against others of its kind when scores or shares are compared
 */
public record Policy(
        long connectTimeoutMs,
        long firstByteTimeoutMs,
        long chunkTimeoutMs,
        long connectionMaxAgeMs,
        long freshConnectionMs,
        int maxAttempts,
        int retryBudgetPercent,
        int backendConcurrency,
        int queueLimit,
        long suspectMs,
        long leavingGraceMs,
        int earlySharePercent,
        long claimLifetimeMs,
        int weight) {
    /** The values in force when a configuration sets none. */
    public static final Policy DEFAULT =
            new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 10, 32, 256, 2_000, 500, 5, 600_000, 100);

    public Policy {
        PolicyField.CONNECT_TIMEOUT_MS.check(connectTimeoutMs);
        PolicyField.FIRST_BYTE_TIMEOUT_MS.check(firstByteTimeoutMs);
        PolicyField.CHUNK_TIMEOUT_MS.check(chunkTimeoutMs);
        PolicyField.CONNECTION_MAX_AGE_MS.check(connectionMaxAgeMs);
        PolicyField.FRESH_CONNECTION_MS.check(freshConnectionMs);
        PolicyField.MAX_ATTEMPTS.check(maxAttempts);
        PolicyField.RETRY_BUDGET_PERCENT.check(retryBudgetPercent);
        PolicyField.BACKEND_CONCURRENCY.check(backendConcurrency);
        PolicyField.QUEUE_LIMIT.check(queueLimit);
        PolicyField.SUSPECT_MS.check(suspectMs);
        PolicyField.LEAVING_GRACE_MS.check(leavingGraceMs);
        PolicyField.EARLY_SHARE_PERCENT.check(earlySharePercent);
        PolicyField.CLAIM_LIFETIME_MS.check(claimLifetimeMs);
        PolicyField.WEIGHT.check(weight);
    }

    /**
     * Returns a policy in which some values are replaced.
     *
     * @param changes the new values by the names that a configuration file uses, see {@link PolicyField}
     * @return the policy; this one if there are no changes
     * @throws IllegalArgumentException if a name is unknown or a value out of its bounds
     */
    public Policy withValues(Map<String, Long> changes) {
        if (changes.isEmpty()) {
            return this;
        }
        long[] v = new long[PolicyField.values().length];
        for (PolicyField value : PolicyField.values()) {
            v[value.ordinal()] = value.get(this);
        }
        changes.forEach((key, value) -> v[find(key).ordinal()] = find(key).check(value));
        return of(v);
    }

    private static PolicyField find(String key) {
        return PolicyField.findByKey(key)
                .orElseThrow(() -> new IllegalArgumentException("there is no value named " + key));
    }

    private static Policy of(long[] v) {
        return new Policy(
                v[0],
                v[1],
                v[2],
                v[3],
                v[4],
                (int) v[5],
                (int) v[6],
                (int) v[7],
                (int) v[8],
                v[9],
                v[10],
                (int) v[11],
                v[12],
                (int) v[13]);
    }
}
