package org.fuchsiadeck.core.duty;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.PendingCall;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.share.UseRecord;

import static java.util.Objects.requireNonNull;

/**
 * Writes down what all nodes have spent, for nodes that start after all of them were lost. Records stand for themselves,
 * so a late write of an earlier holder does no harm: its time tells its age.
 *
 * @param write the write in progress
 */
record UseDuty(PendingCall write) {
    static final UseDuty NONE = new UseDuty(PendingCall.NONE);

    /** What is spent between two records is not known afterwards; quota windows are many times as long. */
    private static final long EVERY_MS = 1_000;

    private static final String TAG = "duty/use";

    UseDuty {
        requireNonNull(write, "write");
    }

    /** Writes the next record if it is due and all nodes are heard. */
    Update<UseDuty> act(View view) {
        long now = view.nowMs();
        Optional<UseRecord> record = write.isCallAllowed(now) ? view.use().record(now) : Optional.empty();
        if (record.isEmpty()) {
            return new Update<>(this, List.of());
        }
        String tag = TAG + "/" + now;
        Effect put = new PlatformEffect.Put(tag, UseRecord.KEY, record.get().write(), OptionalLong.empty());
        return new Update<>(new UseDuty(PendingCall.of(tag, now)), List.of(put));
    }

    UseDuty returned(long nowMs, PlatformEvent event) {
        return write.isEndedBy(event) ? new UseDuty(PendingCall.pause(nowMs, EVERY_MS)) : this;
    }
}
