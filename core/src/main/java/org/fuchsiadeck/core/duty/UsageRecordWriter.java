package org.fuchsiadeck.core.duty;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.PendingCall;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.share.UsageRecord;

import static java.util.Objects.requireNonNull;

/**
 * Periodically stores the usage of all nodes, for nodes that start after all of them were lost. Each record is complete
 * and carries its time, so a delayed write of an earlier leader does no harm.
 *
 * @param write the write in progress
 */
record UsageRecordWriter(PendingCall write) {
    static final UsageRecordWriter NONE = new UsageRecordWriter(PendingCall.NONE);

    /** Usage since the last record is lost with the nodes; quota windows are many times as long. */
    private static final long INTERVAL_MS = 1_000;

    private static final String TAG_PREFIX = "duty/use";

    UsageRecordWriter {
        requireNonNull(write, "write");
    }

    /** Writes the next record if it is due and the usage of all nodes is known. */
    Update<UsageRecordWriter> writeIfDue(View view) {
        long now = view.nowMs();
        Optional<UsageRecord> record = write.isCallAllowed(now) ? view.usage().usageRecord(now) : Optional.empty();
        if (record.isEmpty()) {
            return new Update<>(this, List.of());
        }
        String tag = TAG_PREFIX + "/" + now;
        Effect put = new PlatformEffect.Put(tag, UsageRecord.KEY, record.get().serialize(), OptionalLong.empty());
        return new Update<>(new UsageRecordWriter(PendingCall.of(tag, now)), List.of(put));
    }

    UsageRecordWriter onPlatformEvent(long nowMs, PlatformEvent event) {
        return write.isEndedBy(event) ? new UsageRecordWriter(PendingCall.pause(nowMs, INTERVAL_MS)) : this;
    }
}
