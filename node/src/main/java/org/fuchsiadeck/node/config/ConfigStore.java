package org.fuchsiadeck.node.config;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.fuchsiadeck.core.config.ConfigReducer;
import org.fuchsiadeck.core.platform.PlatformEvent.Entry;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.node.platform.PlatformFailure;

import static java.util.Objects.requireNonNull;

/**
 * The accepted configurations in the platform's service. Its calls block; it is for command lines, not for nodes.
 */
public final class ConfigStore {
    /** The prefix of the keys that hold replaced configurations. */
    public static final String HISTORY_PREFIX = "config/history/";

    private final KeyValueStore store;
    private final Timing timing;
    private final long patienceMs;

    /**
     * Makes a store.
     *
     * @param store the platform's service
     * @param timing the clocks
     * @param patienceMs how long a failed call is tried again, in milliseconds
     */
    public ConfigStore(KeyValueStore store, Timing timing, long patienceMs) {
        this.store = requireNonNull(store, "store");
        this.timing = requireNonNull(timing, "timing");
        this.patienceMs = patienceMs;
    }

    /**
     * Reads the configuration accepted last.
     *
     * @return the configuration, if there is one
     */
    public Either<PlatformFailure, Optional<Accepted>> current() {
        return read(ConfigReducer.KEY).map(entry -> entry.flatMap(ConfigStore::accepted));
    }

    /**
     * Reads an accepted configuration by its revision.
     *
     * @param revision the revision
     * @return the configuration; empty if it is not known or no longer kept
     */
    public Either<PlatformFailure, Optional<Accepted>> at(long revision) {
        return current().flatMap(current -> {
            if (current.isPresent() && current.get().revision() == revision) {
                return Either.right(current);
            }
            return read(historyKey(revision))
                    .map(entry ->
                            entry.flatMap(Entry::value).map(v -> new Accepted(revision, Envelope.parseOrWrap(v))));
        });
    }

    /**
     * Checks a configuration whole and has it accepted, by one compare-and-swap. The base revision is archived first,
     * so that every replaced configuration can be read again.
     *
     * @param proposal the configuration
     * @return what came of it
     */
    public Outcome apply(Proposal proposal) {
        return new Acceptance(store, this, timing, patienceMs, proposal).run();
    }

    /** The key of a replaced configuration. What it holds follows from the revision alone. */
    static String historyKey(long revision) {
        return HISTORY_PREFIX + revision;
    }

    /** Makes a call again with growing pauses until it does not fail or the patience ends. */
    <T> Either<PlatformFailure, T> retry(Supplier<CompletionStage<Either<PlatformFailure, T>>> call) {
        Backoff backoff = new Backoff(timing, patienceMs);
        Either<PlatformFailure, T> result = KeyValueStore.await(call.get());
        while (result.isLeft() && result.getLeft().reason() != PlatformFailure.Reason.INVALID && backoff.pause()) {
            result = KeyValueStore.await(call.get());
        }
        return result;
    }

    private Either<PlatformFailure, Optional<Entry>> read(String key) {
        return retry(() -> store.get(key)).map(KeyValueStore.Found::entry);
    }

    private static Optional<Accepted> accepted(Entry entry) {
        return entry.value().map(v -> new Accepted(entry.revision(), Envelope.parseOrWrap(v)));
    }
}
