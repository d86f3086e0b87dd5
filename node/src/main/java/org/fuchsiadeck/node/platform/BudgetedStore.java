package org.fuchsiadeck.node.platform;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;

import static java.util.Objects.requireNonNull;

/**
 * Keeps a node's calls to the platform's service within a budget and counts them by kind. A call beyond the budget
 * fails at once and is not sent. A waiting watch counts as one read, a lease's renewal as one write.
 */
public final class BudgetedStore implements KeyValueStore {
    private final KeyValueStore inner;
    private final MetricRegistry metrics;
    private final TokenBucket reads;
    private final TokenBucket writes;

    /**
     * Wraps a client.
     *
     * @param inner makes the calls; closed with this
     * @param budget the calls allowed
     * @param metrics where the calls are counted, as {@code platform.calls.<kind>}, {@code platform.failures.<kind>}
     *     and {@code platform.over-budget.<kind>}
     * @param nanoTime a monotonic clock, in nanoseconds
     */
    public BudgetedStore(KeyValueStore inner, Budget budget, MetricRegistry metrics, LongSupplier nanoTime) {
        this.inner = requireNonNull(inner, "inner");
        this.metrics = requireNonNull(metrics, "metrics");
        this.reads = new TokenBucket(budget.readsPerSecond(), nanoTime);
        this.writes = new TokenBucket(budget.writesPerSecond(), nanoTime);
    }

    /**
     * The calls a node may make.
     *
     * @param readsPerSecond reads, lists and watches, per second
     * @param writesPerSecond writes, deletions and calls on leases, per second
     */
    public record Budget(double readsPerSecond, double writesPerSecond) {
        /** Enough for one node's configuration, claims, rollouts and leases. */
        public static final Budget DEFAULT = new Budget(50, 50);

        public Budget {
            if (!(readsPerSecond > 0) || !(writesPerSecond > 0)) {
                throw new IllegalArgumentException(
                        "a budget must be positive, was " + readsPerSecond + " and " + writesPerSecond);
            }
        }
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Found>> get(String key) {
        return count("get", key, reads, () -> inner.get(key));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Swap>> put(
            String key, String value, OptionalLong expected, Optional<String> lease) {
        return count("put", key, writes, () -> inner.put(key, value, expected, lease));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Swap>> delete(String key, OptionalLong expected) {
        return count("delete", key, writes, () -> inner.delete(key, expected));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Changes>> list(String prefix, boolean current) {
        return count("list", prefix, reads, () -> inner.list(prefix, current));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Changes>> watch(String prefix, long afterRevision, long waitMs) {
        return count("watch", prefix, reads, () -> inner.watch(prefix, afterRevision, waitMs));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, String>> grantLease(long ttlMs) {
        return count("grant-lease", "", writes, () -> inner.grantLease(ttlMs));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Boolean>> renewLease(String lease) {
        return count("renew-lease", lease, writes, () -> inner.renewLease(lease));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Boolean>> revokeLease(String lease) {
        return count("revoke-lease", lease, writes, () -> inner.revokeLease(lease));
    }

    @Override
    public void close() {
        inner.close();
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> count(
            String kind,
            String subject,
            TokenBucket bucket,
            Supplier<CompletionStage<Either<PlatformFailure, T>>> call) {
        if (!bucket.take()) {
            metrics.counter("platform.over-budget." + kind).inc();
            return CompletableFuture.completedFuture(Either.left(new PlatformFailure(
                    (kind + " " + subject).trim(),
                    "this node",
                    "the node's call budget is used up",
                    false,
                    PlatformFailure.Reason.BUDGET)));
        }
        metrics.counter("platform.calls." + kind).inc();
        return call.get()
                .thenApply(result -> result.peekLeft(
                        f -> metrics.counter("platform.failures." + kind).inc()));
    }
}
