package org.fuchsiadeck.core.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A key in the platform's service that exists as long as this node renews its lease.
 *
 * @param key the key
 * @param value what it holds
 * @param exclusive whether it is written only where the key does not exist
 * @param ttlMs how long the lease lasts without renewal, in milliseconds
 * @param lease the lease, once it is granted
 * @param revision the revision of the write; 0 while the key is not known to be written
 * @param provenMs when the last grant or renewal that took effect was asked for, in milliseconds
 * @param call the call in progress
 * @param sequence calls made so far
 * @param nextMs when the next call may be made, in milliseconds
 */
public record LeasedKey(
        String key,
        String value,
        boolean exclusive,
        long ttlMs,
        Optional<String> lease,
        long revision,
        long provenMs,
        Optional<WatchedKeys.Call> call,
        long sequence,
        long nextMs) {
    /** Renewals within the lease's time: two may be lost before it lapses. */
    private static final int RENEWALS = 3;

    /** How long an answer may take: many times the few milliseconds it usually takes. */
    private static final long CALL_TIMEOUT_MS = 800;

    private static final long RETRY_MS = 250;
    private static final String GRANT = "/grant/";
    private static final String PUT = "/put/";
    private static final String RENEW = "/renew/";

    public LeasedKey {
        Checks.notBlank(key, "key");
        Checks.notBlank(value, "value");
        Checks.inRange(ttlMs, 1, Long.MAX_VALUE, "ttlMs");
        requireNonNull(lease, "lease");
        requireNonNull(call, "call");
    }

    /**
     * What an event changed.
     *
     * @param next the key after it
     * @param effects what to do
     */
    public record Update(LeasedKey next, List<Effect> effects) {
        public Update {
            requireNonNull(next, "key");
            effects = List.copyOf(effects);
        }
    }

    /**
     * Makes a key that is not written yet.
     *
     * @param key the key
     * @param value what it holds
     * @param exclusive whether it is written only where the key does not exist
     * @param ttlMs how long the lease lasts without renewal, in milliseconds
     * @return the key
     */
    public static LeasedKey of(String key, String value, boolean exclusive, long ttlMs) {
        return new LeasedKey(key, value, exclusive, ttlMs, Optional.empty(), 0, 0, Optional.empty(), 0, 0);
    }

    /**
     * Tells whether the key is certain to exist for a while.
     *
     * @param nowMs the time, in milliseconds
     * @param marginMs how long it has to exist from now on, in milliseconds
     * @return whether the lease lasts that long
     */
    public boolean isHeld(long nowMs, long marginMs) {
        return revision > 0 && nowMs + marginMs < provenMs + ttlMs;
    }

    /**
     * Makes the next call if it is due, and gives up one that takes too long.
     *
     * @param nowMs the time, in milliseconds
     * @return the key, and the call
     */
    public Update onTick(long nowMs) {
        if (call.isPresent() && nowMs >= call.get().deadlineMs()) {
            return new Update(failed(nowMs), List.of());
        }
        if (call.isPresent() || nowMs < nextMs) {
            return new Update(this, List.of());
        }
        if (lease.isPresent() && nowMs >= provenMs + ttlMs) {
            return new Update(lapsed(nowMs), List.of());
        }
        if (lease.isEmpty()) {
            String tag = tag(GRANT);
            return new Update(calling(nowMs, tag), List.of(new PlatformEffect.GrantLease(tag, ttlMs)));
        }
        if (revision == 0) {
            String tag = tag(PUT);
            OptionalLong expected = exclusive ? OptionalLong.of(0) : OptionalLong.empty();
            Effect put = new PlatformEffect.LeasedPut(tag, key, value, expected, lease.get());
            return new Update(calling(nowMs, tag), List.of(put));
        }
        String tag = tag(RENEW);
        return new Update(calling(nowMs, tag), List.of(new PlatformEffect.RenewLease(tag, lease.get())));
    }

    /**
     * Takes what came of a call.
     *
     * @param nowMs the time, in milliseconds
     * @param event what came
     * @return the key, and the next call
     */
    public Update onPlatformEvent(long nowMs, PlatformEvent event) {
        if (event instanceof PlatformEvent.LeaseGranted granted && awaited(granted.tag())) {
            return with(Optional.of(granted.lease()), 0, call.get().sentMs(), nowMs)
                    .onTick(nowMs);
        }
        if (event instanceof PlatformEvent.Written written && awaited(written.tag())) {
            return new Update(with(lease, written.revision(), provenMs, nowMs + ttlMs / RENEWALS), List.of());
        }
        if (event instanceof PlatformEvent.Conflicted lost && awaited(lost.tag())) {
            return new Update(lapsed(nowMs + RETRY_MS), List.of());
        }
        if (event instanceof PlatformEvent.LeaseRenewed renewed && awaited(renewed.tag())) {
            return renewed.active()
                    ? new Update(with(lease, revision, call.get().sentMs(), nowMs + ttlMs / RENEWALS), List.of())
                    : lapsed(nowMs).onTick(nowMs);
        }
        if (event instanceof PlatformEvent.CallFailed failure && awaited(failure.tag())) {
            return new Update(failed(nowMs), List.of());
        }
        return new Update(this, List.of());
    }

    /**
     * Notes that the service holds the key with this node's value, though the answer to the write was lost.
     *
     * @param atRevision the revision of the write
     * @return the key
     */
    public LeasedKey withObservedWrite(long atRevision) {
        boolean missed = revision == 0 && lease.isPresent();
        return missed
                ? new LeasedKey(
                        key, value, exclusive, ttlMs, lease, atRevision, provenMs, Optional.empty(), sequence, nextMs)
                : this;
    }

    private boolean awaited(String tag) {
        return call.isPresent() && call.get().tag().equals(tag);
    }

    private String tag(String kind) {
        return "lease/" + key + kind + (sequence + 1);
    }

    private LeasedKey calling(long nowMs, String tag) {
        WatchedKeys.Call next = new WatchedKeys.Call(tag, nowMs, nowMs + CALL_TIMEOUT_MS);
        return new LeasedKey(
                key, value, exclusive, ttlMs, lease, revision, provenMs, Optional.of(next), sequence + 1, nextMs);
    }

    private LeasedKey failed(long nowMs) {
        return with(lease, revision, provenMs, nowMs + RETRY_MS);
    }

    private LeasedKey lapsed(long atMs) {
        return with(Optional.empty(), 0, provenMs, atMs);
    }

    private LeasedKey with(Optional<String> granted, long written, long proven, long atMs) {
        return new LeasedKey(key, value, exclusive, ttlMs, granted, written, proven, Optional.empty(), sequence, atMs);
    }
}
