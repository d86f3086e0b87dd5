package org.fuchsiadeck.core.config;

import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Reads the configuration from the platform's service: the watchers of a zone by a watch, the others by a rare poll.
 */
final class PlatformReader {
    static final String TAG_PREFIX = "config/";
    static final long WATCH_WAIT_MS = 2_000;
    static final long POLL_MS = 30_000;
    static final long BACKOFF_BASE_MS = 100;
    static final long BACKOFF_MAX_MS = 4_000;

    private static final long RETRY_PAUSE_MS = 500;
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final int FAILURES_BEFORE_LOG = 3;
    private static final int MAX_DOUBLINGS = 20;

    private PlatformReader() {}

    /** Tells whether an event is the result of a call made here. */
    static boolean isResultOfOwnCall(PlatformEvent event) {
        return tag(event).startsWith(TAG_PREFIX);
    }

    /** Gives up a call without a result, and lets a node that has become a watcher watch at once. */
    static void onTick(ConfigReduction draft) {
        ConfigState.ReaderState r = draft.state().reading();
        if (r.call().isPresent() && draft.nowMs() >= r.call().get().deadlineMs()) {
            onFailure(draft, "no result of " + r.call().get().tag());
            return;
        }
        if (r.call().isEmpty() && r.failures() == 0 && isWatcher(draft)) {
            long soon = Math.min(r.nextMs(), draft.nowMs() + RETRY_PAUSE_MS);
            draft.finishCall(r.position(), soon, 0, r.unavailable());
        }
    }

    /** Makes the next call if it is due. */
    static void startCallIfDue(ConfigReduction draft) {
        ConfigState.ReaderState r = draft.state().reading();
        if (r.call().isPresent() || draft.nowMs() < r.nextMs()) {
            return;
        }
        boolean watch = r.position().isPresent() && isWatcher(draft);
        long sequence = r.sequence() + 1;
        String tag = TAG_PREFIX + (watch ? "watch/" : "read/") + sequence;
        long deadline = draft.nowMs() + (watch ? WATCH_WAIT_MS : 0) + CALL_TIMEOUT_MS;
        ConfigState.Call call = new ConfigState.Call(tag, draft.nowMs(), deadline);
        draft.setReading(new ConfigState.ReaderState(
                sequence, Optional.of(call), r.position(), r.nextMs(), r.failures(), r.unavailable()));
        draft.emit(
                watch
                        ? new PlatformEffect.Watch(
                                tag, ConfigReducer.KEY, r.position().getAsLong(), WATCH_WAIT_MS)
                        : new PlatformEffect.Get(tag, ConfigReducer.KEY));
    }

    /** Takes the result of a call. What a late result tells is still learned. */
    static void onResult(ConfigReduction draft, PlatformEvent event) {
        Optional<ConfigState.Call> call = draft.state().reading().call();
        boolean awaited = call.isPresent() && call.get().tag().equals(tag(event));
        if (event instanceof PlatformEvent.Found found) {
            draft.recordPlatformRevision(
                    found.entry().map(PlatformEvent.Entry::revision).orElse(0L));
            found.entry().ifPresent(e -> ConfigReducer.parseEntryIfNewer(draft, e));
            if (awaited) {
                onRead(draft, found.serviceRevision());
            }
        } else if (event instanceof PlatformEvent.Watched watched) {
            watched.entries().forEach(e -> ConfigReducer.parseEntryIfNewer(draft, e));
            if (awaited) {
                onWatched(draft, watched, call.get());
            }
        } else if (event instanceof PlatformEvent.CallFailed failure && awaited) {
            onFailure(draft, failure.detail());
        }
    }

    private static void onRead(ConfigReduction draft, long serviceRevision) {
        logRecovery(draft);
        long pause = isWatcher(draft) ? 0 : POLL_MS / 2 + draft.randomBelow(POLL_MS);
        draft.finishCall(OptionalLong.of(serviceRevision), draft.nowMs() + pause, 0, false);
    }

    private static void onWatched(ConfigReduction draft, PlatformEvent.Watched watched, ConfigState.Call call) {
        logRecovery(draft);
        long now = draft.nowMs();
        long position = draft.state().reading().position().orElse(0);
        if (watched.gap() || watched.serviceRevision() < position) {
            draft.finishCall(OptionalLong.empty(), now + draft.randomBelow(RETRY_PAUSE_MS), 0, false);
            return;
        }
        boolean early = watched.entries().isEmpty() && now - call.sentMs() < WATCH_WAIT_MS / 2;
        long pause = isWatcher(draft) ? early ? RETRY_PAUSE_MS : 0 : POLL_MS / 2 + draft.randomBelow(POLL_MS);
        draft.finishCall(OptionalLong.of(watched.serviceRevision()), now + pause, 0, false);
    }

    private static void logRecovery(ConfigReduction draft) {
        if (draft.state().reading().unavailable()) {
            draft.log(EventCode.PLATFORM_AVAILABLE, "reading " + ConfigReducer.KEY);
        }
    }

    /** Waits with full jitter; the next call reads the key, since a watch may have missed changes. */
    private static void onFailure(ConfigReduction draft, String detail) {
        ConfigState.ReaderState r = draft.state().reading();
        int failures = Math.min(r.failures() + 1, MAX_DOUBLINGS);
        boolean log = failures >= FAILURES_BEFORE_LOG && !r.unavailable();
        if (log) {
            draft.log(EventCode.PLATFORM_UNAVAILABLE, "reading " + ConfigReducer.KEY + ": " + detail);
        }
        long bound = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << failures);
        long next = draft.nowMs() + 1 + draft.randomBelow(bound);
        draft.finishCall(OptionalLong.empty(), next, failures, r.unavailable() || log);
    }

    private static boolean isWatcher(ConfigReduction draft) {
        return Watchers.includes(draft.view.self(), draft.view.peers());
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
