package org.fuchsiadeck.core.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A key in the platform's service that exists as long as this node renews its lease, with the calls that create, write and
 * renew it.
 *
 * @param key the key
 * @param value the value of the key
 * @param expected the revision that the key must have to be written, 0 if it must not exist; empty for any
 * @param earlier the revision of this node's last write under an earlier lease; 0 for none
 * @param ttlMs how long the lease lasts without renewal, in milliseconds
 * @param lease the id of the lease; empty until it is granted
 * @param revision the revision of the write; 0 while the key is not known to be written
 * @param provenMs when the last successful grant or renewal was sent, in milliseconds; the lease lasts at least
 *     {@code ttlMs} from then on
 * @param call the call in progress
 * @param sequence number of calls made so far
 * @param nextMs when the next call may be made, in milliseconds
 */
public record LeasedKey(
        String key,
        String value,
        OptionalLong expected,
        long earlier,
        long ttlMs,
        Optional<String> lease,
        long revision,
        long provenMs,
        Optional<WatchedKeys.Call> call,
        long sequence,
        long nextMs) {
    /** Renewals within the time to live of the lease: two may be lost before it expires. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Time-out of a call. Answers usually take a few milliseconds. */
    private static final long CALL_TIMEOUT_MS = 800;

    private static final long RETRY_DELAY_MS = 250;
    private static final String GRANT_TAG = "/grant/";
    private static final String PUT_TAG = "/put/";
    private static final String RENEW_TAG = "/renew/";

    public LeasedKey {
        Checks.notBlank(key, "key");
        Checks.notBlank(value, "value");
        Checks.inRange(ttlMs, 1, Long.MAX_VALUE, "ttlMs");
        requireNonNull(expected, "expected");
        requireNonNull(lease, "lease");
        requireNonNull(call, "call");
    }

    /**
     * The result of an event.
     *
     * @param next the state of the key after the event
     * @param effects the effects to run
     */
    public record Update(LeasedKey next, List<Effect> effects) {
        public Update {
            requireNonNull(next, "next");
            effects = List.copyOf(effects);
        }
    }

    /**
     * Returns a key that is not written yet.
     *
     * @param key the key
     * @param value the value of the key
     * @param exclusive whether it is written only where the key does not exist
     * @param ttlMs how long the lease lasts without renewal, in milliseconds
     * @return the key
     */
    public static LeasedKey of(String key, String value, boolean exclusive, long ttlMs) {
        OptionalLong expected = exclusive ? OptionalLong.of(0) : OptionalLong.empty();
        return new LeasedKey(key, value, expected, 0, ttlMs, Optional.empty(), 0, 0, Optional.empty(), 0, 0);
    }

    /**
     * Returns a key that replaces one which this node wrote before, with a lease that has ended or is not known to last.
     *
     * @param key the key
     * @param value the value of the key
     * @param earlier the revision of the key that may be replaced
     * @param ttlMs how long the lease lasts without renewal, in milliseconds
     * @return the key
     */
    public static LeasedKey replacing(String key, String value, long earlier, long ttlMs) {
        return new LeasedKey(
                key, value, OptionalLong.of(earlier), earlier, ttlMs, Optional.empty(), 0, 0, Optional.empty(), 0, 0);
    }

    /**
     * Returns whether the key is certain to exist for a given time.
     *
     * @param nowMs the current time, in milliseconds
     * @param marginMs how long it has to exist from now on, in milliseconds
     * @return whether the key is written and the lease lasts that long
     */
    public boolean isHeld(long nowMs, long marginMs) {
        return revision > 0 && nowMs + marginMs < provenMs + ttlMs;
    }

    /**
     * Sends the next call if it is due, and ends one that has timed out.
     *
     * @param nowMs the current time, in milliseconds
     * @return the next state and the call
     */
    public Update onTick(long nowMs) {
        if (call.isPresent() && nowMs >= call.get().deadlineMs()) {
            return new Update(withFailure(nowMs), List.of());
        }
        if (call.isPresent() || nowMs < nextMs) {
            return new Update(this, List.of());
        }
        if (lease.isPresent() && nowMs >= provenMs + ttlMs) {
            return new Update(withoutLease(nowMs), List.of());
        }
        if (lease.isEmpty()) {
            String tag = nextTag(GRANT_TAG);
            return new Update(withCall(nowMs, tag), List.of(new PlatformEffect.GrantLease(tag, ttlMs)));
        }
        if (revision == 0) {
            String tag = nextTag(PUT_TAG);
            Effect put = new PlatformEffect.LeasedPut(tag, key, value, expected, lease.get());
            return new Update(withCall(nowMs, tag), List.of(put));
        }
        String tag = nextTag(RENEW_TAG);
        return new Update(withCall(nowMs, tag), List.of(new PlatformEffect.RenewLease(tag, lease.get())));
    }

    /**
     * Handles the result of a call; other events change nothing.
     *
     * @param nowMs the current time, in milliseconds
     * @param event the event
     * @return the next state and the next call
     */
    public Update onPlatformEvent(long nowMs, PlatformEvent event) {
        if (event instanceof PlatformEvent.LeaseGranted granted && isAwaited(granted.tag())) {
            return withoutCall(Optional.of(granted.lease()), 0, call.get().sentMs(), nowMs)
                    .onTick(nowMs);
        }
        if (event instanceof PlatformEvent.Written written && isAwaited(written.tag())) {
            return new Update(
                    withoutCall(lease, written.revision(), provenMs, nowMs + ttlMs / RENEWALS_PER_TTL), List.of());
        }
        if (event instanceof PlatformEvent.Conflicted conflict && isAwaited(conflict.tag())) {
            return new Update(withoutLease(nowMs + RETRY_DELAY_MS), List.of());
        }
        if (event instanceof PlatformEvent.LeaseRenewed renewed && isAwaited(renewed.tag())) {
            return renewed.active()
                    ? new Update(
                            withoutCall(lease, revision, call.get().sentMs(), nowMs + ttlMs / RENEWALS_PER_TTL),
                            List.of())
                    : withoutLease(nowMs).onTick(nowMs);
        }
        if (event instanceof PlatformEvent.CallFailed failure && isAwaited(failure.tag())) {
            return new Update(withFailure(nowMs), List.of());
        }
        return new Update(this, List.of());
    }

    /**
     * Records a write whose answer was lost, once a read has found the key with this node's value. Changes nothing if the
     * key is known to be written, there is no lease, or the write was made under an earlier one.
     *
     * @param atRevision the revision of the write
     * @return the next state
     */
    public LeasedKey withObservedWrite(long atRevision) {
        boolean answerLost = revision == 0 && lease.isPresent() && atRevision > earlier;
        return answerLost
                ? new LeasedKey(
                        key,
                        value,
                        expected,
                        earlier,
                        ttlMs,
                        lease,
                        atRevision,
                        provenMs,
                        Optional.empty(),
                        sequence,
                        nextMs)
                : this;
    }

    private boolean isAwaited(String tag) {
        return call.isPresent() && call.get().tag().equals(tag);
    }

    private String nextTag(String kind) {
        return "lease/" + key + kind + (sequence + 1);
    }

    private LeasedKey withCall(long nowMs, String tag) {
        WatchedKeys.Call next = new WatchedKeys.Call(tag, nowMs, nowMs + CALL_TIMEOUT_MS);
        return new LeasedKey(
                key,
                value,
                expected,
                earlier,
                ttlMs,
                lease,
                revision,
                provenMs,
                Optional.of(next),
                sequence + 1,
                nextMs);
    }

    private LeasedKey withFailure(long nowMs) {
        return withoutCall(lease, revision, provenMs, nowMs + RETRY_DELAY_MS);
    }

    private LeasedKey withoutLease(long retryMs) {
        return new LeasedKey(
                key,
                value,
                expected.isPresent() ? OptionalLong.of(0) : expected,
                Math.max(earlier, revision),
                ttlMs,
                Optional.empty(),
                0,
                provenMs,
                Optional.empty(),
                sequence,
                retryMs);
    }

    private LeasedKey withoutCall(Optional<String> newLease, long newRevision, long newProvenMs, long newNextMs) {
        return new LeasedKey(
                key,
                value,
                expected,
                earlier,
                ttlMs,
                newLease,
                newRevision,
                newProvenMs,
                Optional.empty(),
                sequence,
                newNextMs);
    }
}
