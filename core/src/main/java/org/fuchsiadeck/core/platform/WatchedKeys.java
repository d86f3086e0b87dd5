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
 * A copy of all keys with a prefix in the platform's service, kept by one listing and a watch after it. A gap in the
 * watch leads to a new listing; the copy stays in force meanwhile, and while the service does not answer.
 *
 * @param prefix the beginning of the keys
 * @param waitMs how long a watch waits for a change, in milliseconds: as long as a connection may be silent unnoticed
 * @param settleMs how long the next watch is put off after a change, in milliseconds, so that changes that come together
 *     are one call
 * @param newest the revision of the newest change seen
 * @param items the copy, by key
 * @param known whether a listing has come back
 * @param position where the watch goes on; empty if the next call is a listing
 * @param call the call in progress
 * @param sequence calls made so far
 * @param failures calls that failed in a row
 * @param nextMs when the next call may be made, in milliseconds
 * @param answeredMs when the service last answered, in milliseconds
 * @param lost whether the service was logged as not answering
 * @param random gives the pauses between calls
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
    /** How long an answer may take beyond the wait: many times the few milliseconds it usually takes. */
    static final long CALL_TIMEOUT_MS = 750;

    /**
     * How long a watch waits after a failed call. While the service is out of reach each call is lost whole, so a long one
     * would still hang for seconds after it is back.
     */
    static final long WAIT_AFTER_FAILURE_MS = 100;

    /** A change reaches a watch in a few milliseconds, and others' reports in a second or two. */
    private static final long NEWS_MS = 500;

    private static final long BACKOFF_BASE_MS = 50;
    private static final long BACKOFF_MAX_MS = 1_000;
    private static final int MAX_DOUBLINGS = 10;
    private static final int FAILURES_TO_LOG = 2;
    private static final long EARLY_PAUSE_MS = 200;

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
     * @param sentMs when it was made, in milliseconds
     * @param deadlineMs when it is given up, in milliseconds
     */
    public record Call(String tag, long sentMs, long deadlineMs) {}

    /**
     * What an event changed.
     *
     * @param next the mirror after it
     * @param changed whether the copy is another
     * @param effects what to do
     */
    public record Update(WatchedKeys next, boolean changed, List<Effect> effects) {
        public Update {
            requireNonNull(next, "mirror");
            effects = List.copyOf(effects);
        }
    }

    /**
     * Makes a mirror that has read nothing.
     *
     * @param prefix the beginning of the keys
     * @param waitMs how long a watch waits for a change, in milliseconds
     * @return the mirror
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
     * Returns the mirror with its own source of pauses, so that the nodes' calls do not come together.
     *
     * @param seed the node's seed
     * @return the mirror
     */
    public WatchedKeys withSeed(long seed) {
        return with(position, call, sequence, failures, nextMs, lost, new SplitMix64(seed ^ prefix.hashCode()));
    }

    /**
     * Returns the mirror with other times.
     *
     * @param nextWaitMs how long a watch waits for a change, in milliseconds
     * @param nextSettleMs how long the next watch is put off after a change, in milliseconds
     * @return the mirror; a call in progress is left as it is
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
     * Returns the mirror without a call in progress, and without trust in its copy, which is read anew by the next call.
     *
     * @return the mirror
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
     * Gives up a watch that must have missed a change, since its connection may be silent.
     *
     * @param nowMs the time, in milliseconds
     * @param seen the newest change that others have seen
     * @return the mirror, which asks anew soon if it is behind
     */
    public Update onPeerRevision(long nowMs, long seen) {
        boolean behind = position.isPresent() && position.getAsLong() < seen;
        boolean old = call.isPresent() && nowMs - call.get().sentMs() >= NEWS_MS;
        return behind && old ? failed(nowMs, "others have seen a change") : new Update(this, false, List.of());
    }

    /**
     * Makes the next call if it is due, and gives up one that takes too long.
     *
     * @param nowMs the time, in milliseconds
     * @return the mirror, and the call
     */
    public Update onTick(long nowMs) {
        if (call.isPresent() && nowMs >= call.get().deadlineMs()) {
            return failed(nowMs, "no answer to " + call.get().tag());
        }
        if (call.isPresent() || nowMs < nextMs) {
            return new Update(this, false, List.of());
        }
        return issued(nowMs);
    }

    /**
     * Takes what came of a call.
     *
     * @param nowMs the time, in milliseconds
     * @param event what came
     * @return the mirror, and the next call
     */
    public Update onPlatformEvent(long nowMs, PlatformEvent event) {
        if (event instanceof PlatformEvent.KeysListed listed && awaited(listed.tag())) {
            return listed(nowMs, listed);
        }
        if (event instanceof PlatformEvent.Watched watched && awaited(watched.tag())) {
            return watched(nowMs, watched);
        }
        if (event instanceof PlatformEvent.CallFailed failure && awaited(failure.tag())) {
            return failed(nowMs, failure.detail());
        }
        return new Update(this, false, List.of());
    }

    /**
     * Tells for how long the service has not answered this mirror's calls.
     *
     * @param nowMs the time, in milliseconds
     * @return milliseconds beyond what a call may take; 0 while it answers
     */
    public long unansweredMs(long nowMs) {
        return Math.max(0, nowMs - answeredMs - waitMs);
    }

    private boolean awaited(String tag) {
        return call.isPresent() && call.get().tag().equals(tag);
    }

    private Update listed(long nowMs, PlatformEvent.KeysListed listed) {
        Map<String, PlatformEvent.Entry> next = TreeMap.empty();
        for (PlatformEvent.Entry entry : listed.entries()) {
            next = next.put(entry.key(), newer(entry));
        }
        long last = listed.entries().stream()
                .mapToLong(PlatformEvent.Entry::revision)
                .max()
                .orElse(0);
        WatchedKeys read = answered(nowMs, next, OptionalLong.of(listed.serviceRevision()), last);
        return read.goOn(nowMs, 0, !known || !next.equals(items), regained());
    }

    private PlatformEvent.Entry newer(PlatformEvent.Entry entry) {
        return items.get(entry.key())
                .filter(e -> e.revision() > entry.revision())
                .getOrElse(entry);
    }

    private Update watched(long nowMs, PlatformEvent.Watched watched) {
        if (watched.gap() || watched.serviceRevision() < position.orElse(0)) {
            WatchedKeys reread = answered(nowMs, items, OptionalLong.empty(), 0);
            return reread.goOn(nowMs, 0, false, regained());
        }
        Map<String, PlatformEvent.Entry> next = items;
        for (PlatformEvent.Entry entry : watched.entries()) {
            boolean old = next.get(entry.key()).exists(e -> e.revision() >= entry.revision());
            if (!old) {
                next = entry.value().isPresent() ? next.put(entry.key(), entry) : next.remove(entry.key());
            }
        }
        boolean early = watched.entries().isEmpty() && nowMs - call.get().sentMs() < nextWaitMs() / 2;
        long last = watched.entries().stream()
                .mapToLong(PlatformEvent.Entry::revision)
                .max()
                .orElse(0);
        WatchedKeys read = answered(nowMs, next, OptionalLong.of(watched.serviceRevision()), last);
        return read.goOn(nowMs, early ? EARLY_PAUSE_MS : last > 0 ? settleMs : 0, next != items, regained());
    }

    private List<Effect> regained() {
        return lost ? List.of(new Effect.Log(EventCode.PLATFORM_AVAILABLE, "reading " + prefix)) : List.of();
    }

    private WatchedKeys answered(long nowMs, Map<String, PlatformEvent.Entry> next, OptionalLong from, long last) {
        return new WatchedKeys(
                prefix,
                waitMs,
                settleMs,
                Math.max(newest, last),
                next,
                true,
                from,
                Optional.empty(),
                sequence,
                0,
                nowMs,
                nowMs,
                false,
                random);
    }

    private Update goOn(long nowMs, long pauseMs, boolean changed, List<Effect> before) {
        if (pauseMs > 0) {
            WatchedKeys later = with(position, Optional.empty(), sequence, 0, nowMs + pauseMs, false, random);
            return new Update(later, changed, before);
        }
        Update next = issued(nowMs);
        List<Effect> all = new ArrayList<>(before);
        all.addAll(next.effects());
        return new Update(next.next(), changed, all);
    }

    private Update issued(long nowMs) {
        long number = sequence + 1;
        boolean watch = position.isPresent();
        String tag = "mirror/" + prefix + (watch ? "watch/" : "list/") + number;
        long wait = watch ? nextWaitMs() : 0;
        long deadline = nowMs + CALL_TIMEOUT_MS + wait;
        WatchedKeys next =
                with(position, Optional.of(new Call(tag, nowMs, deadline)), number, failures, nextMs, lost, random);
        Effect effect = watch
                ? new PlatformEffect.Watch(tag, prefix, position.getAsLong(), wait)
                : new PlatformEffect.ListKeys(tag, prefix, known);
        return new Update(next, false, List.of(effect));
    }

    private long nextWaitMs() {
        return failures > 0 ? Math.min(waitMs, WAIT_AFTER_FAILURE_MS) : waitMs;
    }

    /** Pauses after a failure: the longer the call took, the shorter, since it is the rate of calls that is bounded. */
    private Update failed(long nowMs, String detail) {
        int count = Math.min(failures + 1, MAX_DOUBLINGS);
        boolean log = count >= FAILURES_TO_LOG && !lost;
        long tookMs = call.map(c -> nowMs - c.sentMs()).orElse(0L);
        long bound = Math.max(BACKOFF_BASE_MS, Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << count) - tookMs);
        SplitMix64 drawn = random.next();
        long next = nowMs + 1 + drawn.below(bound);
        WatchedKeys paused = with(position, Optional.empty(), sequence, count, next, lost || log, drawn);
        List<Effect> out = log
                ? List.of(new Effect.Log(EventCode.PLATFORM_UNAVAILABLE, "reading " + prefix + ": " + detail))
                : List.of();
        return new Update(paused, false, out);
    }

    private WatchedKeys with(
            OptionalLong from, Optional<Call> now, long number, int failed, long at, boolean gone, SplitMix64 source) {
        return new WatchedKeys(
                prefix,
                waitMs,
                settleMs,
                newest,
                items,
                known,
                from,
                now,
                number,
                failed,
                at,
                answeredMs,
                gone,
                source);
    }
}
