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
 * Whether there was a holder before. Each holder writes a key that must not exist before it makes its first call; the one
 * whose write takes effect is the first, so no earlier holder's call can still be on its way, and it need not wait.
 *
 * @param write the write in progress
 * @param first whether this node is the first holder; empty while that is not known
 */
record Term(PendingCall write, Optional<Boolean> first) {
    static final String KEY = "duty/first";
    static final Term UNKNOWN = new Term(PendingCall.NONE, Optional.empty());

    private static final long RETRY_MS = 200;
    private static final long MUST_NOT_EXIST = 0;

    Term {
        requireNonNull(write, "write");
        requireNonNull(first, "first");
    }

    /** Asks, if that is not known; only the holder may call this. */
    Update<Term> ask(View view) {
        long now = view.nowMs();
        if (first.isPresent() || !write.isCallAllowed(now)) {
            return new Update<>(this, List.of());
        }
        String tag = KEY + "/" + now;
        Effect put = new PlatformEffect.Put(tag, KEY, view.self().id().value(), OptionalLong.of(MUST_NOT_EXIST));
        return new Update<>(new Term(PendingCall.of(tag, now), first), List.of(put));
    }

    /** Takes the answer. A write whose answer was lost is in conflict with itself, and the node waits. */
    Term returned(long nowMs, PlatformEvent event) {
        if (!write.isEndedBy(event)) {
            return this;
        }
        if (event instanceof PlatformEvent.CallFailed) {
            return new Term(PendingCall.pause(nowMs, RETRY_MS), first);
        }
        return new Term(PendingCall.NONE, Optional.of(event instanceof PlatformEvent.Written));
    }
}
