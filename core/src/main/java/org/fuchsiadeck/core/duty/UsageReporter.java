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
 * Reports the usage of each window to the platform. The counts are first stored in the platform's key-value service,
 * with a conditional write, so that two leaders never report different counts. If the service comes back from an older copy, the
 * counts of the last windows may be gone, although they were reported; they are not counted again.
 *
 * @param reported windows whose reports took effect
 * @param era the era of the service in which the counts were last seen; negative before that
 * @param eraSinceMs when a later era than the first one was noticed, in wall-clock milliseconds
 * @param write the write in progress
 * @param call the report in progress
 * @param sequence the number of calls made so far
 */
record UsageReporter(
        TreeSet<Long> reported, long era, long eraSinceMs, PendingCall write, PendingCall call, long sequence) {
    static final String KEY = "duty/usage";
    static final UsageReporter NONE =
            new UsageReporter(TreeSet.empty(), -1, Long.MIN_VALUE, PendingCall.NONE, PendingCall.NONE, 0);

    /** Nodes exchange their counts a few times per second, so counts are complete this long after a window's end. */
    private static final long SETTLE_DELAY_MS = 1_500;

    private static final long RETRY_DELAY_MS = 400;

    /** Time for a report to arrive before it is late. */
    private static final long ARRIVAL_MARGIN_MS = 700;

    /** Number of reported windows remembered. */
    private static final int MAX_REPORTED_WINDOWS = 12;

    UsageReporter {
        requireNonNull(reported, "reported");
        requireNonNull(write, "write");
        requireNonNull(call, "call");
    }

    /** Notices the era of the service, as of its newest answer. */
    UsageReporter inEra(long current, long wallMs) {
        if (current <= era) {
            return this;
        }
        long since = era < 0 ? eraSinceMs : wallMs;
        return new UsageReporter(reported, current, since, write, call, sequence);
    }

    /** Makes the next write or report if one is due. Only the leader may call this. */
    Update<UsageReporter> callIfDue(
            View view, DutyRules rules, long fencingToken, Optional<PlatformEvent.Entry> entry) {
        long now = view.nowMs();
        long wallMs = view.usage().medianWallMs(now);
        WindowCounts stored =
                WindowCounts.parse(entry.flatMap(PlatformEvent.Entry::value).orElse(""));
        long lastWindow = Math.floorDiv(wallMs, rules.usageWindowMs()) - 1;
        for (long window = lastWindow - rules.usageLateMs() / rules.usageWindowMs(); window <= lastWindow; window++) {
            long sinceEndMs = wallMs - (window + 1) * rules.usageWindowMs();
            boolean due = sinceEndMs >= SETTLE_DELAY_MS && sinceEndMs < rules.usageLateMs() - ARRIVAL_MARGIN_MS;
            if (!due || reported.contains(window)) {
                continue;
            }
            Optional<Map<TeamId, Long>> counts = stored.counts(window);
            if (counts.isPresent()) {
                return call.isCallAllowed(now)
                        ? report(now, fencingToken, window, counts.get())
                        : new Update<>(this, List.of());
            }
            boolean complete = view.usage().hasReportsFromAllNodes(now) || sinceEndMs >= rules.usageLateMs() / 2;
            Map<TeamId, Long> started = view.usage().begunRequests(window);
            boolean maybeReported = (window + 1) * rules.usageWindowMs() + SETTLE_DELAY_MS <= eraSinceMs;
            if (maybeReported) {
                continue;
            }
            if (complete && !started.isEmpty() && write.isCallAllowed(now)) {
                return store(now, stored.withCounts(window, started), entry.map(PlatformEvent.Entry::revision));
            }
        }
        return new Update<>(this, List.of());
    }

    Update<UsageReporter> onCalled(long nowMs, DutyEvent.Called event) {
        if (!call.awaits(event.tag())) {
            return new Update<>(this, List.of());
        }
        long window = Long.parseLong(event.tag().split("/")[1]);
        boolean done = event.result() == DutyEvent.Result.DONE;
        TreeSet<Long> all = done ? reported.add(window) : reported;
        TreeSet<Long> kept = all.size() > MAX_REPORTED_WINDOWS ? all.tail() : all;
        PendingCall next = done ? PendingCall.NONE : PendingCall.pause(nowMs, RETRY_DELAY_MS);
        Effect log = new Effect.Log(
                done ? EventCode.USAGE_REPORTED : EventCode.DUTY_CALL_FAILED,
                "usage report for window " + window + ": " + event.detail());
        return new Update<>(new UsageReporter(kept, era, eraSinceMs, write, next, sequence), List.of(log));
    }

    UsageReporter onPlatformEvent(long nowMs, PlatformEvent event) {
        return write.isEndedBy(event)
                ? new UsageReporter(reported, era, eraSinceMs, PendingCall.pause(nowMs, RETRY_DELAY_MS), call, sequence)
                : this;
    }

    private Update<UsageReporter> report(long nowMs, long fencingToken, long window, Map<TeamId, Long> counts) {
        String tag = "usage/" + window + "/" + sequence;
        List<Effect> out = new ArrayList<>();
        out.add(new DutyEffect.ReportUsage(tag, fencingToken, window, counts));
        return new Update<>(
                new UsageReporter(reported, era, eraSinceMs, write, PendingCall.of(tag, nowMs), sequence + 1), out);
    }

    private Update<UsageReporter> store(long nowMs, WindowCounts stored, Optional<Long> revision) {
        String tag = "duty/write/" + sequence;
        Effect put = new PlatformEffect.Put(tag, KEY, stored.serialize(), OptionalLong.of(revision.orElse(0L)));
        return new Update<>(
                new UsageReporter(reported, era, eraSinceMs, PendingCall.of(tag, nowMs), call, sequence + 1),
                List.of(put));
    }
}
