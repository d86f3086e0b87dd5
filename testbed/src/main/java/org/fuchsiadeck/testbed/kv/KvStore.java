package org.fuchsiadeck.testbed.kv;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keys, values and the history of changes. Every write gets the next revision.
 */
final class KvStore {
    /** Says that a write does not depend on the key's revision. */
    static final long ANY = -1;

    private final int limit;

    private final TreeMap<String, KvEntry> entries = new TreeMap<>();

    private final Deque<KvEntry> history = new ArrayDeque<>();

    private long revision;

    private long forgotten;

    KvStore(int limit) {
        this.limit = limit;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized Optional<KvEntry> get(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    synchronized Listing list(String prefix) {
        List<KvEntry> found = new ArrayList<>();
        for (KvEntry e : entries.tailMap(prefix, true).values()) {
            if (!e.key().startsWith(prefix)) {
                break;
            }
            found.add(e);
        }
        return new Listing(found, revision);
    }

    synchronized Swap put(String key, String value, long expect) {
        long current = keyRevision(key);
        if (expect != ANY && expect != current) {
            return new Swap(false, current);
        }
        KvEntry entry = new KvEntry(key, value, ++revision);
        entries.put(key, entry);
        remember(entry);
        return new Swap(true, revision);
    }

    synchronized Swap delete(String key, long expect) {
        long current = keyRevision(key);
        if (current == 0 || expect != ANY && expect != current) {
            return new Swap(false, current);
        }
        entries.remove(key);
        remember(new KvEntry(key, null, ++revision));
        return new Swap(true, revision);
    }

    synchronized Changes changes(String prefix, long after) {
        if (after < forgotten || after > revision) {
            return new Changes(List.of(), revision, true);
        }
        List<KvEntry> events = new ArrayList<>();
        for (KvEntry e : history) {
            if (e.revision() > after && e.key().startsWith(prefix)) {
                events.add(e);
            }
        }
        return new Changes(events, revision, false);
    }

    synchronized void forgetHistory() {
        history.clear();
        forgotten = revision;
    }

    private long keyRevision(String key) {
        KvEntry entry = entries.get(key);
        return entry == null ? 0 : entry.revision();
    }

    private void remember(KvEntry entry) {
        history.add(entry);
        if (history.size() > limit) {
            forgotten = history.remove().revision();
        }
    }

    /**
     * The entries under a prefix.
     *
     * @param entries the entries in the order of their keys
     * @param serviceRevision the service's revision
     */
    record Listing(List<KvEntry> entries, long serviceRevision) {}

    /**
     * The result of a write.
     *
     * @param done whether it took effect
     * @param revision the new revision, or the key's revision that stood against the write
     */
    record Swap(boolean done, long revision) {}

    /**
     * What has changed under a prefix.
     *
     * @param events the changes, oldest first
     * @param serviceRevision the service's revision
     * @param gap whether the history no longer reaches back
     */
    record Changes(List<KvEntry> events, long serviceRevision, boolean gap) {
        boolean isNews() {
            return gap || !events.isEmpty();
        }
    }
}
