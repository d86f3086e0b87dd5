package org.fuchsiadeck.core.config;

import java.util.Map;

/**
 * Time-outs, limits and weights that the configuration's defaults set and its exceptions override. A configuration file
 * uses the names of the components in snake case.
 *
 * @param connectTimeoutMs longest time for connecting to a backend server, in milliseconds
 * @param firstByteTimeoutMs longest time until the first byte of an answer, in milliseconds
 * @param chunkTimeoutMs longest time between two parts of a streamed answer, in milliseconds
 * @param connectionMaxAgeMs age, since it was opened, at which an idle connection is no longer used, in milliseconds
 * @param freshConnectionMs longest time since the last answer on a connection that is to carry a request which is not
 *     idempotent or is being retried, in milliseconds
 * @param maxAttempts most attempts of one request, 1 or more
 * @param retryBudgetPercent retries allowed for every hundred new requests of a node
 * @param backendConcurrency most requests in progress from one node at one backend server
 * @param queueLimit most requests queued in one node for one service
 * @param suspectMs how long a suspected backend server gets no new requests, in milliseconds
 * @param leavingGraceMs how long before a leaving backend server stops a stream is moved to another, in milliseconds
 * @param earlySharePercent largest share of requests that a new version gets before its verdict, in percent
 * @param claimLifetimeMs how long a claim on an idempotency key is kept, in milliseconds
 * @param weight relative weight of the subject among others of its kind in routing scores and shares
 * @param sharedScheduling 1 if requests are scheduled by what all nodes know of the servers together, otherwise 0
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
        int weight,
        int sharedScheduling) {
    /** The values that apply where a configuration sets none. */
    public static final Policy DEFAULT =
            new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 10, 32, 256, 2_000, 500, 5, 600_000, 100, 0);

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
        PolicyField.SHARED_SCHEDULING.check(sharedScheduling);
    }

    /**
     * Returns this policy with some values replaced.
     *
     * @param changes the new values by their names in a configuration file, see {@link PolicyField#key}
     * @return the policy; this one if there are no changes
     * @throws IllegalArgumentException if a name is unknown or a value is out of bounds
     */
    public Policy withValues(Map<String, Long> changes) {
        if (changes.isEmpty()) {
            return this;
        }
        long[] values = new long[PolicyField.values().length];
        for (PolicyField field : PolicyField.values()) {
            values[field.ordinal()] = field.get(this);
        }
        changes.forEach((key, value) ->
                values[findField(key).ordinal()] = findField(key).check(value));
        return fromValues(values);
    }

    private static PolicyField findField(String key) {
        return PolicyField.findByKey(key)
                .orElseThrow(() -> new IllegalArgumentException("there is no value named " + key));
    }

    private static Policy fromValues(long[] values) {
        return new Policy(
                values[0],
                values[1],
                values[2],
                values[3],
                values[4],
                (int) values[5],
                (int) values[6],
                (int) values[7],
                (int) values[8],
                values[9],
                values[10],
                (int) values[11],
                values[12],
                (int) values[13],
                (int) values[14]);
    }
}
