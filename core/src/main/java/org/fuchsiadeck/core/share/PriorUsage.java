package org.fuchsiadeck.core.share;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.platform.PendingCall;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

import static java.util.Objects.requireNonNull;

/**
 * The usage from before the start of the known process runs. A node reads it from the platform's key-value service when
 * it starts, so that quotas hold through a restart of all nodes.
 *
 * @param record the stored record; empty if there is none or it has not been read yet
 * @param atMs the time of the record on this node's monotonic clock, in milliseconds
 * @param read whether the platform has answered
 * @param call the read in progress
 */
record PriorUsage(Optional<UsageRecord> record, long atMs, boolean read, PendingCall call) {
    static final PriorUsage NOT_LOADED = new PriorUsage(Optional.empty(), 0, false, PendingCall.NONE);

    private static final String TAG = "use/read";

    /** The least age assumed of a record: records are written at this interval, so a lower age is a clock error. */
    private static final long MIN_AGE_MS = 1_000;

    private static final long RETRY_MS = 200;

    PriorUsage {
        requireNonNull(record, "record");
        requireNonNull(call, "call");
    }

    /**
     * The result of an event.
     *
     * @param priorUsage the next state
     * @param effects the effects to run
     */
    record Update(PriorUsage priorUsage, List<Effect> effects) {}

    /** Requests the record, unless it has been read or this run has lasted longer than the window. */
    Update tick(long nowMs, long startedMs, long windowMs) {
        if (read || !call.isCallAllowed(nowMs) || nowMs - startedMs > windowMs) {
            return new Update(this, List.of());
        }
        String tag = TAG + "/" + nowMs;
        PriorUsage requested = new PriorUsage(record, atMs, false, PendingCall.of(tag, nowMs));
        return new Update(requested, List.of(new PlatformEffect.Get(tag, UsageRecord.KEY)));
    }

    /** Takes the record from the platform's reply, or schedules another read if the call failed. */
    Update onReply(View view, PlatformEvent event) {
        if (!call.isEndedBy(event)) {
            return new Update(this, List.of());
        }
        if (!(event instanceof PlatformEvent.Found found)) {
            PriorUsage paused = new PriorUsage(record, atMs, false, PendingCall.pause(view.nowMs(), RETRY_MS));
            return new Update(paused, List.of());
        }
        Optional<String> text = found.entry().flatMap(PlatformEvent.Entry::value);
        Optional<UsageRecord> parsed = text.flatMap(UsageRecord::parse);
        long age = Math.max(
                MIN_AGE_MS, view.wallMs() - parsed.map(UsageRecord::wallMs).orElse(0L));
        PriorUsage next = new PriorUsage(parsed, view.nowMs() - age, true, PendingCall.NONE);
        String outcome = parsed.isPresent() ? "read" : text.isPresent() ? "unreadable" : "none";
        Map<String, Object> fields =
                parsed.isPresent() ? Map.of("outcome", outcome, "age_ms", age) : Map.of("outcome", outcome);
        return new Update(next, List.of(new Effect.Log(EventCode.USE_READ, "", fields)));
    }

    /** Returns whether the record ends before the oldest known run started, so that adding it counts nothing twice. */
    boolean precedes(long earliestStartMs) {
        return record.isPresent() && atMs <= earliestStartMs;
    }

    /**
     * Returns an upper bound of a team's recorded units that still lie in the window. It assumes that they were spent
     * at a constant rate, except for one burst at the end.
     */
    double maxSpent(long nowMs, TeamId team, long windowMs, double burst) {
        long units = record.map(r -> r.spent().getOrDefault(team, 0L)).orElse(0L);
        double remaining = 1 - (double) (nowMs - atMs) / windowMs;
        return remaining <= 0 ? 0 : Math.min(units, units * remaining + burst);
    }

    /** Returns the recorded requests that servers started to process in a usage window, by team. */
    Map<TeamId, Long> begun(long window) {
        return record.map(r -> r.begun().getOrDefault(window, Map.of())).orElse(Map.of());
    }
}
