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

    private static final long GAP_PAUSE_MS = 500;
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final int FAILURES_TO_LOG = 3;
    private static final int MAX_DOUBLINGS = 20;

    private PlatformReader() {}

    /** Tells whether an event is the result of a call made here. */
    static boolean concerns(PlatformEvent event) {
        return tag(event).startsWith(TAG_PREFIX);
    }

    /** Gives up a call without a result, and lets a node that has become a watcher watch at once. */
    static void tick(Draft draft) {
        ConfigState.Reading r = draft.state().reading();
        if (r.call().isPresent() && draft.nowMs() >= r.call().get().deadlineMs()) {
            failed(draft, "no result of " + r.call().get().tag());
            return;
        }
        if (r.call().isEmpty() && r.failures() == 0 && watches(draft)) {
            long soon = Math.min(r.nextMs(), draft.nowMs() + GAP_PAUSE_MS);
            draft.idle(r.position(), soon, 0, r.unavailable());
        }
    }

    /** Makes the next call if it is due. */
    static void issue(Draft draft) {
        ConfigState.Reading r = draft.state().reading();
        if (r.call().isPresent() || draft.nowMs() < r.nextMs()) {
            return;
        }
        boolean watch = r.position().isPresent() && watches(draft);
        long sequence = r.sequence() + 1;
        String tag = TAG_PREFIX + (watch ? "watch/" : "read/") + sequence;
        long deadline = draft.nowMs() + (watch ? WATCH_WAIT_MS : 0) + CALL_TIMEOUT_MS;
        ConfigState.Call call = new ConfigState.Call(tag, draft.nowMs(), deadline);
        draft.reading(new ConfigState.Reading(
                sequence, Optional.of(call), r.position(), r.nextMs(), r.failures(), r.unavailable()));
        draft.effect(
                watch
                        ? new PlatformEffect.Watch(
                                tag, ConfigReducer.KEY, r.position().getAsLong(), WATCH_WAIT_MS)
                        : new PlatformEffect.Get(tag, ConfigReducer.KEY));
    }

    /** Takes the result of a call. What a late result tells is still learned. */
    static void returned(Draft draft, PlatformEvent event) {
        Optional<ConfigState.Call> call = draft.state().reading().call();
        boolean awaited = call.isPresent() && call.get().tag().equals(tag(event));
        if (event instanceof PlatformEvent.Found found) {
            draft.heardPlatform(found.entry().map(PlatformEvent.Entry::revision).orElse(0L));
            found.entry().ifPresent(e -> ConfigReducer.learnFromPlatform(draft, e));
            if (awaited) {
                read(draft, found.serviceRevision());
            }
        } else if (event instanceof PlatformEvent.Watched watched) {
            watched.entries().forEach(e -> ConfigReducer.learnFromPlatform(draft, e));
            if (awaited) {
                watched(draft, watched, call.get());
            }
        } else if (event instanceof PlatformEvent.CallFailed failure && awaited) {
            failed(draft, failure.detail());
        }
    }

    private static void read(Draft draft, long serviceRevision) {
        succeeded(draft);
        long pause = watches(draft) ? 0 : POLL_MS / 2 + draft.randomBelow(POLL_MS);
        draft.idle(OptionalLong.of(serviceRevision), draft.nowMs() + pause, 0, false);
    }

    private static void watched(Draft draft, PlatformEvent.Watched watched, ConfigState.Call call) {
        succeeded(draft);
        long now = draft.nowMs();
        long position = draft.state().reading().position().orElse(0);
        if (watched.gap() || watched.serviceRevision() < position) {
            draft.idle(OptionalLong.empty(), now + draft.randomBelow(GAP_PAUSE_MS), 0, false);
            return;
        }
        boolean early = watched.entries().isEmpty() && now - call.sentMs() < WATCH_WAIT_MS / 2;
        long pause = watches(draft) ? early ? GAP_PAUSE_MS : 0 : POLL_MS / 2 + draft.randomBelow(POLL_MS);
        draft.idle(OptionalLong.of(watched.serviceRevision()), now + pause, 0, false);
    }

    private static void succeeded(Draft draft) {
        if (draft.state().reading().unavailable()) {
            draft.log(EventCode.PLATFORM_AVAILABLE, "reading " + ConfigReducer.KEY);
        }
    }

    /** Waits with full jitter; the next call reads the key, since a watch may have missed changes. */
    private static void failed(Draft draft, String detail) {
        ConfigState.Reading r = draft.state().reading();
        int failures = Math.min(r.failures() + 1, MAX_DOUBLINGS);
        boolean log = failures >= FAILURES_TO_LOG && !r.unavailable();
        if (log) {
            draft.log(EventCode.PLATFORM_UNAVAILABLE, "reading " + ConfigReducer.KEY + ": " + detail);
        }
        long bound = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << failures);
        long next = draft.nowMs() + 1 + draft.randomBelow(bound);
        draft.idle(OptionalLong.empty(), next, failures, r.unavailable() || log);
    }

    private static boolean watches(Draft draft) {
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
