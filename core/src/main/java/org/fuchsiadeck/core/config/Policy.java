package org.fuchsiadeck.core.config;

import org.fuchsiadeck.core.model.Checks;

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

    private static final long MAX_MS = 86_400_000;

    public Policy {
        Checks.inRange(connectTimeoutMs, 1, MAX_MS, "connect_timeout_ms");
        Checks.inRange(firstByteTimeoutMs, 1, MAX_MS, "first_byte_timeout_ms");
        Checks.inRange(chunkTimeoutMs, 1, MAX_MS, "chunk_timeout_ms");
        Checks.inRange(connectionMaxAgeMs, 1, MAX_MS, "connection_max_age_ms");
        Checks.inRange(freshConnectionMs, 0, MAX_MS, "fresh_connection_ms");
        Checks.inRange(maxAttempts, 1, 10, "max_attempts");
        Checks.inRange(retryBudgetPercent, 0, 100, "retry_budget_percent");
        Checks.inRange(backendConcurrency, 1, 100_000, "backend_concurrency");
        Checks.inRange(queueLimit, 0, 1_000_000, "queue_limit");
        Checks.inRange(suspectMs, 0, MAX_MS, "suspect_ms");
        Checks.inRange(leavingGraceMs, 0, MAX_MS, "leaving_grace_ms");
        Checks.inRange(earlySharePercent, 0, 100, "early_share_percent");
        Checks.inRange(claimLifetimeMs, 1_000, MAX_MS, "claim_lifetime_ms");
        Checks.inRange(weight, 1, 10_000, "weight");
    }
}
