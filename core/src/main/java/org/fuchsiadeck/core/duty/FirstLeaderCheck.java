package org.fuchsiadeck.core.duty;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.PendingCall;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

import static java.util.Objects.requireNonNull;

/**
 * Finds out whether this node is the first leader. Each leader creates the same key before its first call, under the
 * condition that the key does not exist. The node whose write succeeds is the first leader: no call of an earlier
 * leader can be in transit, so it need not wait before it acts.
 *
 * @param write the write in progress
 * @param first whether this node is the first leader; empty while that is not known
 */
record FirstLeaderCheck(PendingCall write, Optional<Boolean> first) {
    static final String KEY = "duty/first";
    static final FirstLeaderCheck UNKNOWN = new FirstLeaderCheck(PendingCall.NONE, Optional.empty());

    private static final long RETRY_DELAY_MS = 200;
    private static final long MUST_NOT_EXIST = 0;

    FirstLeaderCheck {
        requireNonNull(write, "write");
        requireNonNull(first, "first");
    }

    /** Writes the key if the result is not known yet. Only the leader may call this. */
    Update<FirstLeaderCheck> writeIfUnknown(View view) {
        long now = view.nowMs();
        if (first.isPresent() || !write.isCallAllowed(now)) {
            return new Update<>(this, List.of());
        }
        String tag = KEY + "/" + now;
        Effect put = new PlatformEffect.Put(tag, KEY, view.self().id().value(), OptionalLong.of(MUST_NOT_EXIST));
        return new Update<>(new FirstLeaderCheck(PendingCall.of(tag, now), first), List.of(put));
    }

    /**
     * Handles the response. If the response to a successful write is lost, the retry conflicts with it and the node
     * waits.
     */
    FirstLeaderCheck onPlatformEvent(long nowMs, PlatformEvent event) {
        if (!write.isEndedBy(event)) {
            return this;
        }
        if (event instanceof PlatformEvent.CallFailed) {
            return new FirstLeaderCheck(PendingCall.pause(nowMs, RETRY_DELAY_MS), first);
        }
        return new FirstLeaderCheck(PendingCall.NONE, Optional.of(event instanceof PlatformEvent.Written));
    }
}
