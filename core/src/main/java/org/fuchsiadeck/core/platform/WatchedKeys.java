package org.fuchsiadeck.core.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.SplitMix64;

import static java.util.Objects.requireNonNull;

/**
 * A copy of all keys with a prefix in the platform's service, kept up to date by one listing and repeated watches after it.
 * A gap in the watch leads to a new listing; meanwhile, and while the service does not answer, the copy stays in use.
 *
 * @param prefix the prefix of the keys
 * @param waitMs how long a watch waits for a change, in milliseconds; a broken connection may stay
 *     unnoticed that long
 * @param settleMs how long the next watch is delayed after a change, in milliseconds, so that changes in quick succession
 *     need one call
 * @param newest the revision of the newest change received
 * @param items the copy, by key
 * @param known whether a listing was received
 * @param position the revision after which the next watch starts; empty if the next call is a listing
 * @param call the call in progress
 * @param sequence number of calls made so far
 * @param failures number of consecutive failed calls
 * @param nextMs when the next call may be made, in milliseconds
 * @param answeredMs when the service last answered, in milliseconds
 * @param lost whether the service was logged as not answering
 * @param random the source of the random pauses after failures
 */
public record WatchedKeys(
        String prefix,
        long waitMs,
        long settleMs,
        long newest,
        Map<String, PlatformEvent.Entry> items,
        boolean known,
        OptionalLong position,
        Optional<Call> call,
        long sequence,
        int failures,
        long nextMs,
        long answeredMs,
        boolean lost,
        SplitMix64 random) {
    /** Time-out of a call, beyond the wait of a watch. Answers usually take a few milliseconds. */
    static final long CALL_TIMEOUT_MS = 750;

    /**
     * Wait of a watch after a failed call. A call that is sent while the service is unreachable never gets an answer, so one
     * with a long wait would still be pending for seconds after the service is back.
     */
    static final long WAIT_AFTER_FAILURE_MS = 100;

    /**
     * Age from which a call that has not returned a change known to peers counts as broken. A change reaches a watch within
     * a few milliseconds, and peers' reports of it arrive a second or two later.
     */
    private static final long MIN_BROKEN_CALL_AGE_MS = 500;

    private static final long BACKOFF_BASE_MS = 50;
    private static final long BACKOFF_MAX_MS = 1_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;
    private static final int FAILURES_BEFORE_LOG = 2;
    private static final long EARLY_ANSWER_PAUSE_MS = 200;

    public WatchedKeys {
        Checks.notBlank(prefix, "prefix");
        requireNonNull(items, "items");
        requireNonNull(position, "position");
        requireNonNull(call, "call");
        requireNonNull(random, "random");
    }

    /**
     * A call in progress.
     *
     * @param tag the call's tag
     * @param sentMs when it was sent, in milliseconds
     * @param deadlineMs when it times out, in milliseconds
     */
    public record Call(String tag, long sentMs, long deadlineMs) {}

    /**
     * The result of an event.
     *
     * @param next the state after the event
     * @param changed whether the copy was read for the first time or its entries have changed
     * @param effects the effects to run
     */
    public record Update(WatchedKeys next, boolean changed, List<Effect> effects) {
        public Update {
            requireNonNull(next, "next");
            effects = List.copyOf(effects);
        }
    }

    /**
     * Returns an empty copy that has not been read yet.
     *
     * @param prefix the prefix of the keys
     * @param waitMs how long a watch waits for a change, in milliseconds
     * @return the initial state
     */
    public static WatchedKeys of(String prefix, long waitMs) {
        return new WatchedKeys(
                prefix,
                waitMs,
                0,
                0,
                TreeMap.empty(),
                false,
                OptionalLong.empty(),
                Optional.empty(),
                0,
                0,
                0,
                0,
                false,
                new SplitMix64(prefix.hashCode()));
    }

    /**
     * Returns this state with a random source of its own, so that the retries of several nodes do not coincide.
     *
     * @param seed the node's seed
     * @return the next state
     */
    public WatchedKeys withSeed(long seed) {
        return withCallState(
                position, call, sequence, failures, nextMs, lost, new SplitMix64(seed ^ prefix.hashCode()));
    }

    /**
     * Returns this state with other watch times. A call in progress is not affected.
     *
     * @param nextWaitMs how long a watch waits for a change, in milliseconds
     * @param nextSettleMs how long the next watch is delayed after a change, in milliseconds
     * @return the next state
     */
    public WatchedKeys withTiming(long nextWaitMs, long nextSettleMs) {
        return nextWaitMs == waitMs && nextSettleMs == settleMs
                ? this
                : new WatchedKeys(
                        prefix,
                        nextWaitMs,
                        nextSettleMs,
                        newest,
                        items,
                        known,
                        position,
                        call,
                        sequence,
                        failures,
                        nextMs,
                        answeredMs,
                        lost,
                        random);
    }

    /**
     * Returns this state without a call in progress and with its copy marked as not read, so that the next call is a
     * listing.
     *
     * @return the next state
     */
    public WatchedKeys withStaleCopy() {
        return new WatchedKeys(
                prefix,
                waitMs,
                settleMs,
                newest,
                items,
                false,
                OptionalLong.empty(),
                Optional.empty(),
                sequence,
                0,
                nextMs,
                answeredMs,
                lost,
                random);
    }

    /**
     * Abandons a watch that has missed a change known to a peer, since its connection may be broken. The next watch follows
     * after a short pause.
     *
     * @param nowMs the current time, in milliseconds
     * @param peerRevision the revision of the newest change that a peer has received
     * @return the next state; unchanged if the watch is not behind
     */
    public Update onPeerRevision(long nowMs, long peerRevision) {
        boolean behind = position.isPresent() && position.getAsLong() < peerRevision;
        boolean stuck = call.isPresent() && nowMs - call.get().sentMs() >= MIN_BROKEN_CALL_AGE_MS;
        return behind && stuck
                ? onFailure(
                        nowMs,
                        "peers have received revision " + peerRevision + ", the watch is at " + position.getAsLong())
                : new Update(this, false, List.of());
    }

    /**
     * Abandons a watch that has waited for some time, since nothing shows that its connection still works. The next call
     * follows after a short pause and does not wait long.
     *
     * @param nowMs the current time, in milliseconds
     * @param detail why the watch is abandoned
     * @return the next state; unchanged if the call in progress is a recent one
     */
    public Update onUnproven(long nowMs, String detail) {
        boolean waiting = call.isPresent() && nowMs - call.get().sentMs() >= MIN_BROKEN_CALL_AGE_MS;
        return waiting ? onFailure(nowMs, detail) : new Update(this, false, List.of());
    }

    /**
     * Sends the next call if it is due, and ends one that has timed out.
     *
     * @param nowMs the current time, in milliseconds
     * @return the next state and the call
     */
    public Update onTick(long nowMs) {
        if (call.isPresent() && nowMs >= call.get().deadlineMs()) {
            return onFailure(
                    nowMs,
                    "no answer to " + call.get().tag() + " within "
                            + (nowMs - call.get().sentMs()) + " ms");
        }
        if (call.isPresent() || nowMs < nextMs) {
            return new Update(this, false, List.of());
        }
        return sendNextCall(nowMs);
    }

    /**
     * Handles the result of a call; other events change nothing.
     *
     * @param nowMs the current time, in milliseconds
     * @param event the event
     * @return the next state and the next call
     */
    public Update onPlatformEvent(long nowMs, PlatformEvent event) {
        if (event instanceof PlatformEvent.KeysListed listed && isAwaited(listed.tag())) {
            return onKeysListed(nowMs, listed);
        }
        if (event instanceof PlatformEvent.Watched watched && isAwaited(watched.tag())) {
            return onWatched(nowMs, watched);
        }
        if (event instanceof PlatformEvent.CallFailed failure && isAwaited(failure.tag())) {
            return onFailure(nowMs, failure.detail());
        }
        return new Update(this, false, List.of());
    }

    /**
     * Returns for how long the service has failed to answer these calls.
     *
     * @param nowMs the current time, in milliseconds
     * @return the time since the last answer that exceeds the wait of a watch, in milliseconds; 0 while the service answers
     */
    public long unansweredMs(long nowMs) {
        return Math.max(0, nowMs - answeredMs - waitMs);
    }

    private boolean isAwaited(String tag) {
        return call.isPresent() && call.get().tag().equals(tag);
    }

    private Update onKeysListed(long nowMs, PlatformEvent.KeysListed listed) {
        Map<String, PlatformEvent.Entry> next = TreeMap.empty();
        for (PlatformEvent.Entry entry : listed.entries()) {
            next = next.put(entry.key(), newerOf(entry));
        }
        long lastRevision = listed.entries().stream()
                .mapToLong(PlatformEvent.Entry::revision)
                .max()
                .orElse(0);
        WatchedKeys updated = withAnswer(nowMs, next, OptionalLong.of(listed.serviceRevision()), lastRevision);
        return updated.callOrPause(nowMs, 0, !known || !next.equals(items), availableAgain());
    }

    private PlatformEvent.Entry newerOf(PlatformEvent.Entry entry) {
        return items.get(entry.key())
                .filter(e -> e.revision() > entry.revision())
                .getOrElse(entry);
    }

    private Update onWatched(long nowMs, PlatformEvent.Watched watched) {
        if (watched.gap() || watched.serviceRevision() < position.orElse(0)) {
            WatchedKeys relisting = withAnswer(nowMs, items, OptionalLong.empty(), 0);
            return relisting.callOrPause(nowMs, 0, false, availableAgain());
        }
        Map<String, PlatformEvent.Entry> next = items;
        for (PlatformEvent.Entry entry : watched.entries()) {
            boolean old = next.get(entry.key()).exists(e -> e.revision() >= entry.revision());
            if (!old) {
                next = entry.value().isPresent() ? next.put(entry.key(), entry) : next.remove(entry.key());
            }
        }
        boolean early = watched.entries().isEmpty() && nowMs - call.get().sentMs() < watchWaitMs() / 2;
        long lastRevision = watched.entries().stream()
                .mapToLong(PlatformEvent.Entry::revision)
                .max()
                .orElse(0);
        WatchedKeys updated = withAnswer(nowMs, next, OptionalLong.of(watched.serviceRevision()), lastRevision);
        return updated.callOrPause(
                nowMs,
                early ? EARLY_ANSWER_PAUSE_MS : lastRevision > 0 ? settleMs : 0,
                next != items,
                availableAgain());
    }

    private List<Effect> availableAgain() {
        return lost ? List.of(new Effect.Log(EventCode.PLATFORM_AVAILABLE, "reading " + prefix)) : List.of();
    }

    private WatchedKeys withAnswer(
            long nowMs, Map<String, PlatformEvent.Entry> newItems, OptionalLong newPosition, long lastRevision) {
        return new WatchedKeys(
                prefix,
                waitMs,
                settleMs,
                Math.max(newest, lastRevision),
                newItems,
                true,
                newPosition,
                Optional.empty(),
                sequence,
                0,
                nowMs,
                nowMs,
                false,
                random);
    }

    private Update callOrPause(long nowMs, long pauseMs, boolean changed, List<Effect> logs) {
        if (pauseMs > 0) {
            WatchedKeys paused = withCallState(position, Optional.empty(), sequence, 0, nowMs + pauseMs, false, random);
            return new Update(paused, changed, logs);
        }
        Update next = sendNextCall(nowMs);
        List<Effect> all = new ArrayList<>(logs);
        all.addAll(next.effects());
        return new Update(next.next(), changed, all);
    }

    private Update sendNextCall(long nowMs) {
        long number = sequence + 1;
        boolean watch = position.isPresent();
        String tag = "mirror/" + prefix + (watch ? "watch/" : "list/") + number;
        long wait = watch ? watchWaitMs() : 0;
        long deadline = nowMs + CALL_TIMEOUT_MS + wait;
        WatchedKeys next = withCallState(
                position, Optional.of(new Call(tag, nowMs, deadline)), number, failures, nextMs, lost, random);
        Effect effect = watch
                ? new PlatformEffect.Watch(tag, prefix, position.getAsLong(), wait)
                : new PlatformEffect.ListKeys(tag, prefix, known);
        return new Update(next, false, List.of(effect));
    }

    private long watchWaitMs() {
        return failures > 0 ? Math.min(waitMs, WAIT_AFTER_FAILURE_MS) : waitMs;
    }

    /** Pauses after a failure. Time that the call took is subtracted from the pause, since the rate of calls is limited. */
    private Update onFailure(long nowMs, String detail) {
        int failureCount = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
        boolean logNow = failureCount >= FAILURES_BEFORE_LOG && !lost;
        long tookMs = call.map(c -> nowMs - c.sentMs()).orElse(0L);
        long maxPauseMs = Math.max(BACKOFF_BASE_MS, Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << failureCount) - tookMs);
        SplitMix64 nextRandom = random.next();
        long retryMs = nowMs + 1 + nextRandom.below(maxPauseMs);
        WatchedKeys paused =
                withCallState(position, Optional.empty(), sequence, failureCount, retryMs, lost || logNow, nextRandom);
        List<Effect> logs = logNow
                ? List.of(new Effect.Log(EventCode.PLATFORM_UNAVAILABLE, "reading " + prefix + ": " + detail))
                : List.of();
        return new Update(paused, false, logs);
    }

    private WatchedKeys withCallState(
            OptionalLong newPosition,
            Optional<Call> newCall,
            long newSequence,
            int newFailures,
            long newNextMs,
            boolean newLost,
            SplitMix64 newRandom) {
        return new WatchedKeys(
                prefix,
                waitMs,
                settleMs,
                newest,
                items,
                known,
                newPosition,
                newCall,
                newSequence,
                newFailures,
                newNextMs,
                answeredMs,
                newLost,
                newRandom);
    }
}
