package org.fuchsiadeck.node.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.fuchsiadeck.core.platform.PlatformEvent.Entry;

import static java.util.Objects.requireNonNull;

/**
 * What the project needs of the platform's key-value service. Every stage completes within the time limit of the
 * implementation, and never exceptionally; what depends on it must not block.
 */
public interface KeyValueStore extends AutoCloseable {
    /** The largest value, in bytes of UTF-8. */
    int MAX_VALUE_BYTES = 1 << 20;

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the value, if the key exists
     */
    CompletionStage<Either<PlatformFailure, Found>> get(String key);

    /**
     * Writes a key by compare-and-swap.
     *
     * @param key the key
     * @param value the value
     * @param expected the revision the key must have; 0 if it must not exist; empty for any
     * @param lease the lease that the key ends with; empty for none
     * @return whether the write took effect
     */
    CompletionStage<Either<PlatformFailure, Swap>> put(
            String key, String value, OptionalLong expected, Optional<String> lease);

    /**
     * Deletes a key by compare-and-swap. A key that does not exist counts as a conflict at revision 0.
     *
     * @param key the key
     * @param expected the revision the key must have; empty for any
     * @return whether the deletion took effect
     */
    CompletionStage<Either<PlatformFailure, Swap>> delete(String key, OptionalLong expected);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @param current whether the answer has to be of now rather than of the last seconds
     * @return the entries in the order of their keys
     */
    CompletionStage<Either<PlatformFailure, Changes>> list(String prefix, boolean current);

    /**
     * Waits for changes of keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision only changes after this revision of the service
     * @param waitMs the longest wait, in milliseconds
     * @return the changes, oldest first; none at the end of the wait
     */
    CompletionStage<Either<PlatformFailure, Changes>> watch(String prefix, long afterRevision, long waitMs);

    /**
     * Takes out a lease.
     *
     * @param ttlMs how long the lease lasts without renewal, in milliseconds
     * @return the id of the lease
     */
    CompletionStage<Either<PlatformFailure, String>> grantLease(long ttlMs);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @return whether the lease still lasted
     */
    CompletionStage<Either<PlatformFailure, Boolean>> renewLease(String lease);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease the id of the lease
     * @return whether the lease still lasted
     */
    CompletionStage<Either<PlatformFailure, Boolean>> revokeLease(String lease);

    /** Releases the client's resources. */
    @Override
    void close();

    /**
     * Waits for a call. For command lines and tests only.
     *
     * @param <T> the type of the result
     * @param call the call
     * @return its result
     */
    static <T> T await(CompletionStage<T> call) {
        return call.toCompletableFuture().join();
    }

    /**
     * The result of a read.
     *
     * @param entry the value; empty if the key does not exist
     * @param serviceRevision the revision of the whole service at the read
     */
    record Found(Optional<Entry> entry, long serviceRevision) {
        public Found {
            requireNonNull(entry, "entry");
        }
    }

    /**
     * The result of a compare-and-swap.
     *
     * @param done whether it took effect
     * @param revision the revision of the write, or the revision that the key has instead
     */
    record Swap(boolean done, long revision) {}

    /**
     * Several entries.
     *
     * @param entries the entries
     * @param serviceRevision the revision of the whole service
     * @param gap whether changes may be missing
     */
    record Changes(List<Entry> entries, long serviceRevision, boolean gap) {
        public Changes {
            entries = List.copyOf(entries);
        }
    }
}
