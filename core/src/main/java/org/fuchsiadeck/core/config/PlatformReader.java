package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Reads the configuration from the platform's key-value service. Every node watches the key. The watchers of each zone
 * renew their watches often, so that a broken connection is noticed soon; on other nodes it is noticed by the peers'
 * announcements.
 */
final class PlatformReader {
    static final String TAG_PREFIX = "config/";

    /** Time that the service holds a watch of a zone's watchers open without a change. */
    static final long WATCH_WAIT_MS = 2_000;

    /** The same for all other nodes; the most that the service allows. */
    static final long LONG_WATCH_WAIT_MS = 30_000;

    /** Bound of the random delay after a failure, before it is doubled for each failure in a row. */
    static final long BACKOFF_BASE_MS = 100;

    static final long BACKOFF_MAX_MS = 4_000;

    /** Longest delay of a call after a gap or an early empty watch result. */
    private static final long RETRY_PAUSE_MS = 500;

    /** Time for a result, in addition to the wait of a watch. */
    private static final long CALL_TIMEOUT_MS = 2_000;

    private static final int FAILURES_BEFORE_LOG = 3;

    /** Keeps the shifted backoff within a long. */
    private static final int MAX_DOUBLINGS = 20;

    private PlatformReader() {}

    /** Returns whether an event is the result of a call of this class, by its tag. */
    static boolean isResultOfOwnCall(PlatformEvent event) {
        return tag(event).startsWith(TAG_PREFIX);
    }

    /** Fails a call that is past its deadline. */
    static void onTick(ConfigReduction reduction) {
        ConfigState.ReaderState reader = reduction.state().reading();
        if (reader.call().isPresent()
                && reduction.nowMs() >= reader.call().get().deadlineMs()) {
            onFailure(
                    reduction,
                    "no result before the deadline of call "
                            + reader.call().get().tag());
        }
    }

    /** Starts the next call if it is due and none is in progress. */
    static void startCallIfDue(ConfigReduction reduction) {
        ConfigState.ReaderState reader = reduction.state().reading();
        if (reader.call().isPresent() || reduction.nowMs() < reader.nextMs()) {
            return;
        }
        boolean watch = reader.position().isPresent();
        long waitMs = isWatcher(reduction) ? WATCH_WAIT_MS : LONG_WATCH_WAIT_MS;
        long sequence = reader.sequence() + 1;
        String tag = TAG_PREFIX + (watch ? "watch/" : "read/") + sequence;
        long deadline = reduction.nowMs() + (watch ? waitMs : 0) + CALL_TIMEOUT_MS;
        ConfigState.Call call = new ConfigState.Call(tag, reduction.nowMs(), deadline);
        reduction.setReading(new ConfigState.ReaderState(
                sequence,
                Optional.of(call),
                reader.position(),
                reader.nextMs(),
                reader.failures(),
                reader.unavailable()));
        reduction.emit(
                watch
                        ? new PlatformEffect.Watch(
                                tag, ConfigReducer.KEY, reader.position().getAsLong(), waitMs)
                        : new PlatformEffect.Get(tag, ConfigReducer.KEY));
    }

    /** Handles the result of a call. Entries of a late result are still used, but the call schedule ignores it. */
    static void onResult(ConfigReduction reduction, PlatformEvent event) {
        CurrencyChecks.onResult(reduction, tag(event), event);
        Optional<ConfigState.Call> call = reduction.state().reading().call();
        boolean inProgress = call.isPresent() && call.get().tag().equals(tag(event));
        if (event instanceof PlatformEvent.Found found) {
            reduction.recordPlatformRevision(
                    found.entry().map(PlatformEvent.Entry::revision).orElse(0L));
            found.entry().ifPresent(e -> ConfigReducer.parseEntryIfNewer(reduction, e));
            if (inProgress) {
                reduction.recordNewest(
                        newestWritten(found.entry().stream().toList()),
                        call.get().sentMs());
                onRead(reduction, found.serviceRevision());
            }
        } else if (event instanceof PlatformEvent.Watched watched) {
            watched.entries().forEach(e -> ConfigReducer.parseEntryIfNewer(reduction, e));
            if (inProgress) {
                onWatched(reduction, watched, call.get());
            }
        } else if (event instanceof PlatformEvent.CallFailed failure && inProgress) {
            onFailure(reduction, failure.detail());
        }
    }

    private static void onRead(ConfigReduction reduction, long serviceRevision) {
        logRecovery(reduction);
        reduction.finishCall(OptionalLong.of(serviceRevision), reduction.nowMs(), 0, false);
    }

    private static void onWatched(ConfigReduction reduction, PlatformEvent.Watched watched, ConfigState.Call call) {
        logRecovery(reduction);
        long now = reduction.nowMs();
        long position = reduction.state().reading().position().orElse(0);
        if (watched.gap() || watched.serviceRevision() < position) {
            reduction.finishCall(OptionalLong.empty(), now + reduction.randomBelow(RETRY_PAUSE_MS), 0, false);
            return;
        }
        boolean endedEarly = watched.entries().isEmpty() && now - call.sentMs() < WATCH_WAIT_MS / 2;
        long pause = endedEarly ? RETRY_PAUSE_MS : 0;
        reduction.recordNewest(newestWritten(watched.entries()), call.sentMs());
        reduction.finishCall(OptionalLong.of(watched.serviceRevision()), now + pause, 0, false);
    }

    /** Returns the newest revision of the configuration among entries; 0 if there is none. A deletion does not count. */
    static long newestWritten(List<PlatformEvent.Entry> entries) {
        return entries.stream()
                .filter(e -> e.key().equals(ConfigReducer.KEY) && e.value().isPresent())
                .mapToLong(PlatformEvent.Entry::revision)
                .max()
                .orElse(0);
    }

    private static void logRecovery(ConfigReduction reduction) {
        if (reduction.state().reading().unavailable()) {
            reduction.log(EventCode.PLATFORM_AVAILABLE, "reading " + ConfigReducer.KEY);
        }
    }

    /** Backs off with full jitter. The next call reads the key, since a watch may have missed changes. */
    private static void onFailure(ConfigReduction reduction, String detail) {
        ConfigState.ReaderState reader = reduction.state().reading();
        int failures = Math.min(reader.failures() + 1, MAX_DOUBLINGS);
        boolean becomesUnavailable = failures >= FAILURES_BEFORE_LOG && !reader.unavailable();
        if (becomesUnavailable) {
            reduction.log(EventCode.PLATFORM_UNAVAILABLE, "reading " + ConfigReducer.KEY + ": " + detail);
        }
        long bound = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << failures);
        long nextMs = reduction.nowMs() + 1 + reduction.randomBelow(bound);
        reduction.finishCall(OptionalLong.empty(), nextMs, failures, reader.unavailable() || becomesUnavailable);
    }

    private static boolean isWatcher(ConfigReduction reduction) {
        return Watchers.includes(reduction.view.self(), reduction.view.peers());
    }

    private static String tag(PlatformEvent event) {
        if (event instanceof PlatformEvent.Found found) {
            return found.tag();
        }
        if (event instanceof PlatformEvent.Watched watched) {
            return watched.tag();
        }
        if (event instanceof PlatformEvent.CallFailed failed) {
            return failed.tag();
        }
        return "";
    }
}
