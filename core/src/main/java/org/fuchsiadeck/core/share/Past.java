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
 * What was spent before any run that this node hears of began, as read from the platform when this node started.
 *
 * @param record the record; empty if there is none, or it is not read yet
 * @param atMs the record's time on this node's monotonic clock, in milliseconds
 * @param read whether the platform has answered
 * @param call the reading in progress
 */
record Past(Optional<UseRecord> record, long atMs, boolean read, PendingCall call) {
    static final Past UNREAD = new Past(Optional.empty(), 0, false, PendingCall.NONE);

    private static final String TAG = "use/read";

    /** Records are written this often, so a younger one says that the clocks differ. */
    private static final long MIN_AGE_MS = 1_000;

    private static final long RETRY_MS = 200;

    Past {
        requireNonNull(record, "record");
        requireNonNull(call, "call");
    }

    /**
     * A change of what is known.
     *
     * @param past what is known after it
     * @param effects what to do
     */
    record Update(Past past, List<Effect> effects) {}

    /** Asks for the record, unless it is read or too old to matter. */
    Update tick(long nowMs, long startedMs, long windowMs) {
        if (read || !call.isCallAllowed(nowMs) || nowMs - startedMs > windowMs) {
            return new Update(this, List.of());
        }
        String tag = TAG + "/" + nowMs;
        Past asked = new Past(record, atMs, false, PendingCall.of(tag, nowMs));
        return new Update(asked, List.of(new PlatformEffect.Get(tag, UseRecord.KEY)));
    }

    Update returned(View view, PlatformEvent event) {
        if (!call.isEndedBy(event)) {
            return new Update(this, List.of());
        }
        if (!(event instanceof PlatformEvent.Found found)) {
            Past later = new Past(record, atMs, false, PendingCall.pause(view.nowMs(), RETRY_MS));
            return new Update(later, List.of());
        }
        Optional<String> text = found.entry().flatMap(PlatformEvent.Entry::value);
        Optional<UseRecord> now = text.flatMap(UseRecord::read);
        long age =
                Math.max(MIN_AGE_MS, view.wallMs() - now.map(UseRecord::wallMs).orElse(0L));
        Past next = new Past(now, view.nowMs() - age, true, PendingCall.NONE);
        String outcome = now.isPresent() ? "read" : text.isPresent() ? "unreadable" : "none";
        Map<String, Object> fields =
                now.isPresent() ? Map.of("outcome", outcome, "age_ms", age) : Map.of("outcome", outcome);
        return new Update(next, List.of(new Effect.Log(EventCode.USE_READ, "", fields)));
    }

    /** Tells whether the record ends before the oldest run that is heard began, so that nothing is counted twice. */
    boolean precedes(long startedMs) {
        return record.isPresent() && atMs <= startedMs;
    }

    /**
     * Returns at most how much of what a team had spent still lies in the window: it may have been spent evenly, but for
     * a burst at the end.
     */
    double spent(long nowMs, TeamId team, long windowMs, double burst) {
        long units = record.map(r -> r.spent().getOrDefault(team, 0L)).orElse(0L);
        double left = 1 - (double) (nowMs - atMs) / windowMs;
        return left <= 0 ? 0 : Math.min(units, units * left + burst);
    }

    /** Returns the requests that had been begun in a usage window. */
    Map<TeamId, Long> begun(long window) {
        return record.map(r -> r.begun().getOrDefault(window, Map.of())).orElse(Map.of());
    }
}
