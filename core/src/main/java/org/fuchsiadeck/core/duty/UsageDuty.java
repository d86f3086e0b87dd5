package org.fuchsiadeck.core.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.vavr.collection.TreeSet;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.platform.PendingCall;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

import static java.util.Objects.requireNonNull;

/**
 * Reports the use of each window. What is reported is first written down in the platform's key-value service, under the
 * condition that nobody else has, so that two holders never report different counts.
 *
 * @param reported windows whose reports took effect
 * @param write the write in progress
 * @param call the report in progress
 * @param sequence calls made so far
 */
record UsageDuty(TreeSet<Long> reported, PendingCall write, PendingCall call, long sequence) {
    static final String KEY = "duty/usage";
    static final UsageDuty NONE = new UsageDuty(TreeSet.empty(), PendingCall.NONE, PendingCall.NONE, 0);

    /** Nodes tell each other a few times a second what was begun, so all is known this long after a window's end. */
    private static final long SETTLE_MS = 1_500;

    private static final long RETRY_MS = 400;

    /** The report has to arrive before it is late. */
    private static final long MARGIN_MS = 700;

    private static final int KEPT = 12;

    UsageDuty {
        requireNonNull(reported, "reported");
        requireNonNull(write, "write");
        requireNonNull(call, "call");
    }

    /** Makes the next call, if one is due; only the holder may call this. */
    Update<UsageDuty> act(View view, DutyRules rules, long fence, Optional<PlatformEvent.Entry> entry) {
        long now = view.nowMs();
        long wall = view.use().trueWallMs(now);
        UsageBook book =
                UsageBook.read(entry.flatMap(PlatformEvent.Entry::value).orElse(""));
        long newest = Math.floorDiv(wall, rules.usageWindowMs()) - 1;
        for (long window = newest - rules.usageLateMs() / rules.usageWindowMs(); window <= newest; window++) {
            long sinceEndMs = wall - (window + 1) * rules.usageWindowMs();
            boolean due = sinceEndMs >= SETTLE_MS && sinceEndMs < rules.usageLateMs() - MARGIN_MS;
            if (!due || reported.contains(window)) {
                continue;
            }
            Optional<Map<TeamId, Long>> counts = book.counts(window);
            if (counts.isPresent()) {
                return call.isCallAllowed(now)
                        ? report(now, fence, window, counts.get())
                        : new Update<>(this, List.of());
            }
            boolean whole = view.use().hearsAll(now) || sinceEndMs >= rules.usageLateMs() / 2;
            Map<TeamId, Long> begun = view.use().begunIn(window);
            if (whole && !begun.isEmpty() && write.isCallAllowed(now)) {
                return written(now, book.with(window, begun), entry.map(PlatformEvent.Entry::revision));
            }
        }
        return new Update<>(this, List.of());
    }

    Update<UsageDuty> called(long nowMs, DutyEvent.Called event) {
        if (!call.awaits(event.tag())) {
            return new Update<>(this, List.of());
        }
        long window = Long.parseLong(event.tag().split("/")[1]);
        boolean done = event.result() == DutyEvent.Result.DONE;
        TreeSet<Long> all = done ? reported.add(window) : reported;
        TreeSet<Long> kept = all.size() > KEPT ? all.tail() : all;
        PendingCall next = done ? PendingCall.NONE : PendingCall.pause(nowMs, RETRY_MS);
        Effect log = new Effect.Log(
                done ? EventCode.USAGE_REPORTED : EventCode.DUTY_CALL_FAILED,
                "usage of window " + window + " " + event.detail());
        return new Update<>(new UsageDuty(kept, write, next, sequence), List.of(log));
    }

    UsageDuty returned(long nowMs, PlatformEvent event) {
        return write.isEndedBy(event)
                ? new UsageDuty(reported, PendingCall.pause(nowMs, RETRY_MS), call, sequence)
                : this;
    }

    private Update<UsageDuty> report(long nowMs, long fence, long window, Map<TeamId, Long> counts) {
        String tag = "usage/" + window + "/" + sequence;
        List<Effect> out = new ArrayList<>();
        out.add(new DutyEffect.ReportUsage(tag, fence, window, counts));
        return new Update<>(new UsageDuty(reported, write, PendingCall.of(tag, nowMs), sequence + 1), out);
    }

    private Update<UsageDuty> written(long nowMs, UsageBook book, Optional<Long> revision) {
        String tag = "duty/write/" + sequence;
        Effect put = new PlatformEffect.Put(tag, KEY, book.write(), OptionalLong.of(revision.orElse(0L)));
        return new Update<>(new UsageDuty(reported, PendingCall.of(tag, nowMs), call, sequence + 1), List.of(put));
    }
}
