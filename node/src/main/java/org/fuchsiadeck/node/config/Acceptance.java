package org.fuchsiadeck.node.config;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.fuchsiadeck.core.config.ConfigReducer;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.platform.KeyValueStore;
import org.fuchsiadeck.node.platform.PlatformFailure;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Has one proposal accepted. The compare-and-swap on the base revision can take effect once at most, so that it may be
 * repeated until reading back tells what came of it.
 */
final class Acceptance {
    private final KeyValueStore store;
    private final ConfigStore reads;
    private final Timing timing;
    private final long patienceMs;
    private final Proposal proposal;
    private boolean maybeDone;

    Acceptance(KeyValueStore store, ConfigStore reads, Timing timing, long patienceMs, Proposal proposal) {
        this.store = store;
        this.reads = reads;
        this.timing = timing;
        this.patienceMs = patienceMs;
        this.proposal = proposal;
    }

    Outcome run() {
        Either<List<ConfigError>, Configuration> parsed = ConfigParser.parse(proposal.text(), 0);
        if (parsed.isLeft()) {
            return new Outcome.Invalid(parsed.getLeft());
        }
        Either<PlatformFailure, Optional<Accepted>> read = reads.current();
        if (read.isLeft()) {
            return new Outcome.Failed("nothing was written: " + read.getLeft());
        }
        Optional<Accepted> base = read.get();
        if (base.map(Accepted::revision).orElse(0L) != proposal.baseRevision()) {
            return new Outcome.Conflict(base);
        }
        String value = envelope(base).toJson();
        int bytes = value.getBytes(UTF_8).length;
        if (bytes > KeyValueStore.MAX_VALUE_BYTES) {
            return new Outcome.Failed("the configuration takes " + bytes + " bytes with its history, more than the "
                    + KeyValueStore.MAX_VALUE_BYTES + " that the service holds");
        }
        return archive(base)
                .<Outcome>map(f -> new Outcome.Failed("nothing was written: " + f))
                .orElseGet(() -> finish(swap(value), base));
    }

    private Envelope envelope(Optional<Accepted> base) {
        List<Envelope.Change> history = base.map(Accepted::changes).orElse(List.of());
        long at = timing.wallMs().getAsLong();
        return new Envelope(proposal.writeId(), proposal.operator(), proposal.reason(), at, proposal.text(), history);
    }

    /** Keeps the configuration that is to be replaced. A conflict means that it is kept already. */
    private Optional<PlatformFailure> archive(Optional<Accepted> base) {
        if (base.isEmpty()) {
            return Optional.empty();
        }
        String key = ConfigStore.historyKey(base.get().revision());
        String value = base.get().envelope().toJson();
        Either<PlatformFailure, KeyValueStore.Swap> kept =
                reads.retry(() -> store.put(key, value, OptionalLong.of(0), Optional.empty()));
        return kept.isLeft() ? Optional.of(kept.getLeft()) : Optional.empty();
    }

    private Outcome swap(String value) {
        Backoff backoff = new Backoff(timing, patienceMs);
        OptionalLong expected = OptionalLong.of(proposal.baseRevision());
        while (true) {
            Either<PlatformFailure, KeyValueStore.Swap> result =
                    KeyValueStore.await(store.put(ConfigReducer.KEY, value, expected, Optional.empty()));
            if (result.isRight() && result.get().done()) {
                return new Outcome.Done(result.get().revision());
            }
            if (result.isLeft()) {
                maybeDone |= result.getLeft().maybeDone();
            }
            if (result.isRight() || maybeDone) {
                Optional<Outcome> settled = settle();
                if (settled.isPresent()) {
                    return settled.get();
                }
            }
            String detail = result.isLeft() ? result.getLeft().toString() : "the read after a conflict failed";
            boolean hopeless = result.isLeft() && result.getLeft().reason() == PlatformFailure.Reason.INVALID;
            if (hopeless || !backoff.pause()) {
                return maybeDone ? new Outcome.Unknown(proposal.writeId(), detail) : new Outcome.Failed(detail);
            }
        }
    }

    /** Reads back whether the write took effect. Empty if that is still open. */
    private Optional<Outcome> settle() {
        Either<PlatformFailure, KeyValueStore.Found> read = KeyValueStore.await(store.get(ConfigReducer.KEY));
        if (read.isLeft()) {
            return Optional.empty();
        }
        Optional<Accepted> current = read.get()
                .entry()
                .flatMap(e -> e.value().map(v -> new Accepted(e.revision(), Envelope.parseOrWrap(v))));
        if (current.isEmpty()) {
            return missing();
        }
        Accepted c = current.get();
        Optional<Envelope.Change> own = c.envelope().find(c.revision(), proposal.writeId());
        if (own.isPresent()) {
            return Optional.of(new Outcome.Done(own.get().revision()));
        }
        if (c.revision() == proposal.baseRevision()) {
            return Optional.empty();
        }
        if (!maybeDone || reachesBase(c)) {
            return Optional.of(new Outcome.Conflict(current));
        }
        return Optional.of(new Outcome.Unknown(
                proposal.writeId(), "more changes followed than the history of revision " + c.revision() + " holds"));
    }

    private Optional<Outcome> missing() {
        if (proposal.baseRevision() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                maybeDone
                        ? new Outcome.Unknown(proposal.writeId(), "the key " + ConfigReducer.KEY + " was deleted")
                        : new Outcome.Conflict(Optional.empty()));
    }

    /** Tells whether the known changes go back to the base, so that the own write would be among them. */
    private boolean reachesBase(Accepted current) {
        List<Envelope.Change> history = current.envelope().history();
        return history.size() < Envelope.HISTORY_LENGTH
                || history.get(history.size() - 1).revision() <= proposal.baseRevision();
    }

    /** Deletes the archived configuration that has just left the history. A failure leaves it in place. */
    private Outcome finish(Outcome outcome, Optional<Accepted> base) {
        if (outcome instanceof Outcome.Done && base.isPresent()) {
            List<Envelope.Change> before = base.get().envelope().history();
            if (before.size() == Envelope.HISTORY_LENGTH) {
                long oldest = before.get(before.size() - 1).revision();
                KeyValueStore.await(store.delete(ConfigStore.historyKey(oldest), OptionalLong.empty()));
            }
        }
        return outcome;
    }
}
