package org.fuchsiadeck.node.rollout;

import java.util.Optional;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.fuchsiadeck.core.platform.PlatformEvent.Entry;
import org.fuchsiadeck.core.rollout.RegistryFormat;
import org.fuchsiadeck.core.rollout.RolloutReducer;
import org.fuchsiadeck.core.rollout.RolloutRegistry;
import org.fuchsiadeck.node.config.Timing;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.node.platform.KeyValueStore.Found;
import org.fuchsiadeck.node.platform.KeyValueStore.Swap;
import org.fuchsiadeck.node.platform.PlatformFailure;

import static java.util.Objects.requireNonNull;

/**
 * The book of rollouts in the platform's service, as operators read and change it. Its calls block; it is for command
 * lines, not for nodes.
 */
public final class BookStore {
    private static final long PAUSE_MS = 200;

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
    public BookStore(KeyValueStore store, Timing timing, long patienceMs) {
        this.store = requireNonNull(store, "store");
        this.timing = requireNonNull(timing, "timing");
        this.patienceMs = patienceMs;
    }

    /** A change to the book. */
    public interface Change {
        /**
         * Applies the change.
         *
         * @param book the book as it is
         * @return the book as it should be, or why the change is refused
         */
        Either<String, RolloutRegistry> apply(RolloutRegistry book);

        /**
         * Tells whether a book has the change, so that a lost answer can be settled.
         *
         * @param book the book as it is
         * @return whether the change was made
         */
        boolean isIn(RolloutRegistry book);
    }

    /** What came of a change. */
    public enum Result {
        /** It was made. */
        DONE,
        /** It was not made. */
        REFUSED,
        /** It may have been made. */
        UNKNOWN
    }

    /**
     * What came of a change, and why.
     *
     * @param result what came of it
     * @param detail why it was not made, or what was seen
     */
    public record Outcome(Result result, String detail) {
        public Outcome {
            requireNonNull(result, "result");
            requireNonNull(detail, "detail");
        }
    }

    /**
     * Reads the book.
     *
     * @return the book, or why it can't be read
     */
    public Either<String, RolloutRegistry> read() {
        return find().mapLeft(PlatformFailure::toString).flatMap(BookStore::parse);
    }

    /**
     * Makes a change by compare-and-swap. A conflict with another change is settled by applying it to the newer book;
     * a lost answer by reading the book again.
     *
     * @param change the change
     * @return what came of it
     */
    public Outcome make(Change change) {
        long end = timing.nowMs().getAsLong() + patienceMs;
        boolean sent = false;
        String detail = "";
        while (timing.nowMs().getAsLong() < end) {
            Either<PlatformFailure, Found> found = find();
            if (found.isRight()) {
                Either<String, RolloutRegistry> book = parse(found.get());
                if (sent && book.exists(change::isIn)) {
                    return new Outcome(Result.DONE, "");
                }
                Either<String, RolloutRegistry> next = book.flatMap(change::apply);
                if (next.isLeft()) {
                    return new Outcome(Result.REFUSED, next.getLeft());
                }
                Either<PlatformFailure, Swap> swap = write(next.get(), revision(found.get()));
                if (swap.exists(Swap::done)) {
                    return new Outcome(Result.DONE, "");
                }
                sent |= swap.isLeft() && swap.getLeft().sent();
                detail = swap.fold(PlatformFailure::toString, s -> "another change came first");
            } else {
                detail = found.getLeft().toString();
            }
            timing.sleepMs().accept(PAUSE_MS);
        }
        return new Outcome(sent ? Result.UNKNOWN : Result.REFUSED, detail);
    }

    private Either<PlatformFailure, Found> find() {
        return KeyValueStore.await(store.get(RolloutReducer.REGISTRY_KEY));
    }

    private Either<PlatformFailure, Swap> write(RolloutRegistry book, long revision) {
        return KeyValueStore.await(store.put(
                RolloutReducer.REGISTRY_KEY,
                RegistryFormat.serialize(book),
                OptionalLong.of(revision),
                Optional.empty()));
    }

    private static long revision(Found found) {
        return found.entry().map(Entry::revision).orElse(0L);
    }

    private static Either<String, RolloutRegistry> parse(Found found) {
        String text = found.entry().flatMap(Entry::value).orElse("");
        try {
            return Either.right(RegistryFormat.parse(text));
        } catch (IllegalArgumentException e) {
            return Either.left("the book of rollouts can't be read: " + e.getMessage());
        }
    }
}
