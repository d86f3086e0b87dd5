package org.fuchsiadeck.core.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Simulates the platform's key-value service in virtual time, with leases that expire and watches that wait. It can turn
 * nodes away, leave them without an answer and lose its history.
 */
final class SimulatedStore {
    /** The nodes whose calls are refused. */
    final Set<String> refused = new HashSet<>();

    /** The nodes whose calls are never answered. */
    final Set<String> unanswered = new HashSet<>();

    private final TreeMap<String, PlatformEvent.Entry> items = new TreeMap<>();
    private final Map<String, String> leaseByKey = new HashMap<>();
    private final Map<String, Long> expiryMs = new HashMap<>();
    private final Map<String, Long> ttlMs = new HashMap<>();
    private final List<PlatformEvent.Entry> history = new ArrayList<>();
    private final List<PendingWatch> watches = new ArrayList<>();
    private long revision = 1;
    private long forgottenRevision;

    private record PendingWatch(String caller, PlatformEffect.Watch call, long untilMs, Consumer<Event> answer) {}

    /** Writes a value unconditionally, as an operator or a backend server does. */
    void write(String key, String value) {
        revision++;
        apply(new PlatformEvent.Entry(key, Optional.of(value), revision));
    }

    /** Removes a key, as a backend server's lease does when it ends. */
    void remove(String key) {
        revision++;
        apply(new PlatformEvent.Entry(key, Optional.empty(), revision));
    }

    /** Never answers the waiting watches of some callers, as broken connections do. */
    void silenceWatches(Predicate<String> callers) {
        watches.removeIf(w -> callers.test(w.caller()));
    }

    /** Discards the history, so that watches from before have a gap. */
    void forgetHistory() {
        forgottenRevision = revision;
        history.clear();
        List<PendingWatch> ended = List.copyOf(watches);
        watches.clear();
        ended.forEach(w -> w.answer().accept(new PlatformEvent.Watched(w.call().tag(), List.of(), revision, true)));
    }

    void call(long nowMs, String caller, PlatformEffect call, Consumer<Event> answer) {
        if (unanswered.contains(caller)) {
            return;
        }
        if (refused.contains(caller)) {
            answer.accept(new PlatformEvent.CallFailed(call.tag(), "refused", true));
            return;
        }
        if (call instanceof PlatformEffect.Get get) {
            answer.accept(new PlatformEvent.Found(call.tag(), Optional.ofNullable(items.get(get.key())), revision));
        } else if (call instanceof PlatformEffect.ListKeys list) {
            List<PlatformEvent.Entry> found = items.values().stream()
                    .filter(e -> e.key().startsWith(list.prefix()))
                    .toList();
            answer.accept(new PlatformEvent.KeysListed(call.tag(), found, revision));
        } else if (call instanceof PlatformEffect.Watch watch) {
            watch(nowMs, caller, watch, answer);
        } else if (call instanceof PlatformEffect.GrantLease grant) {
            String lease = "l" + expiryMs.size();
            expiryMs.put(lease, nowMs + grant.ttlMs());
            ttlMs.put(lease, grant.ttlMs());
            answer.accept(new PlatformEvent.LeaseGranted(call.tag(), lease));
        } else if (call instanceof PlatformEffect.RenewLease renew) {
            boolean valid = expiryMs.getOrDefault(renew.lease(), 0L) > nowMs;
            if (valid) {
                expiryMs.put(renew.lease(), nowMs + ttlMs.get(renew.lease()));
            }
            answer.accept(new PlatformEvent.LeaseRenewed(call.tag(), valid));
        } else if (call instanceof PlatformEffect.Put put) {
            put(call.tag(), put.key(), put.value(), put.expectedRevision().orElse(-1), answer);
        } else if (call instanceof PlatformEffect.LeasedPut put) {
            leaseByKey.put(put.key(), put.lease());
            put(call.tag(), put.key(), put.value(), put.expectedRevision().orElse(-1), answer);
        }
    }

    /** Expires the leases and completes the watches whose time has passed. */
    void tick(long nowMs) {
        for (Map.Entry<String, String> leased : Map.copyOf(leaseByKey).entrySet()) {
            if (expiryMs.get(leased.getValue()) <= nowMs) {
                leaseByKey.remove(leased.getKey());
                revision++;
                apply(new PlatformEvent.Entry(leased.getKey(), Optional.empty(), revision));
            }
        }
        List<PendingWatch> timedOut =
                watches.stream().filter(w -> w.untilMs() <= nowMs).toList();
        watches.removeAll(timedOut);
        timedOut.forEach(
                w -> w.answer().accept(new PlatformEvent.Watched(w.call().tag(), List.of(), revision, false)));
    }

    private void watch(long nowMs, String caller, PlatformEffect.Watch watch, Consumer<Event> answer) {
        if (watch.afterRevision() < forgottenRevision) {
            answer.accept(new PlatformEvent.Watched(watch.tag(), List.of(), revision, true));
            return;
        }
        List<PlatformEvent.Entry> changes = history.stream()
                .filter(e -> e.revision() > watch.afterRevision() && e.key().startsWith(watch.prefix()))
                .toList();
        if (changes.isEmpty()) {
            watches.add(new PendingWatch(caller, watch, nowMs + watch.waitMs(), answer));
        } else {
            answer.accept(new PlatformEvent.Watched(watch.tag(), changes, revision, false));
        }
    }

    private void put(String tag, String key, String value, long expected, Consumer<Event> answer) {
        long current = items.containsKey(key) ? items.get(key).revision() : 0;
        if (expected >= 0 && expected != current) {
            answer.accept(new PlatformEvent.Conflicted(tag, current));
            return;
        }
        write(key, value);
        answer.accept(new PlatformEvent.Written(tag, revision));
    }

    private void apply(PlatformEvent.Entry entry) {
        history.add(entry);
        if (entry.value().isPresent()) {
            items.put(entry.key(), entry);
        } else {
            items.remove(entry.key());
        }
        List<PendingWatch> notified = watches.stream()
                .filter(w -> entry.key().startsWith(w.call().prefix()))
                .toList();
        watches.removeAll(notified);
        notified.forEach(
                w -> w.answer().accept(new PlatformEvent.Watched(w.call().tag(), List.of(entry), revision, false)));
    }
}
