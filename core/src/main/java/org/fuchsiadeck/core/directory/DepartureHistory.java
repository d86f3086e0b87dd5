package org.fuchsiadeck.core.directory;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import org.fuchsiadeck.core.directory.DirectoryMessage.DepartedBackend;
import org.fuchsiadeck.core.directory.DirectoryMessage.Departures;

import static java.util.Objects.requireNonNull;

/**
 * The latest departures of backend servers in the order of the service's revisions, from this node's own reads and from
 * its peers. Because both use the same revisions, a gap shows whoever reported a departure, and the knowledge of a peer
 * proves how recent this node's own is.
 *
 * @param completeAfter the revision after which no departure is missing
 * @param revision the revision up to which no departure is missing
 * @param provenMs when the knowledge was last known to be the newest, in milliseconds; negative if never
 * @param byKey the latest departure of each server, by key
 */
public record DepartureHistory(long completeAfter, long revision, long provenMs, Map<String, DepartedBackend> byKey) {
    /** The history of a node that has not read the list of servers. */
    public static final DepartureHistory EMPTY = new DepartureHistory(0, 0, -1, HashMap.empty());

    /** Number of departures that are kept, several times the servers of a large fleet that leave within a minute. */
    private static final int MAX_DEPARTURES = 512;

    /** Number of departures that are kept after older ones are dropped. */
    private static final int RETAINED_DEPARTURES = 384;

    public DepartureHistory {
        requireNonNull(byKey, "byKey");
    }

    /**
     * Returns whether the list of servers has been read.
     *
     * @return whether the history has a beginning
     */
    public boolean isStarted() {
        return revision > 0;
    }

    /**
     * Returns how long ago the knowledge was last known to be the newest.
     *
     * @param nowMs the time, in milliseconds
     * @return the age, in milliseconds; the time since the node's start if it never was
     */
    public long ageMs(long nowMs) {
        return Math.max(0, nowMs - Math.max(0, provenMs));
    }

    /** Returns a history that begins at a revision, without any proof that this is the newest. */
    DepartureHistory startedAt(long firstRevision) {
        return new DepartureHistory(firstRevision, firstRevision, provenMs, byKey);
    }

    /** Adds departures and moves on to the revision of the service's answer, which proves the knowledge. */
    DepartureHistory withAnswer(Collection<DepartedBackend> found, long answered, long nowMs) {
        return new DepartureHistory(completeAfter, Math.max(revision, answered), nowMs, merge(found)).bounded();
    }

    /** Adds departures without any claim that none is missing. */
    DepartureHistory withDeparted(Collection<DepartedBackend> found) {
        return new DepartureHistory(completeAfter, revision, provenMs, merge(found)).bounded();
    }

    /**
     * Adds a peer's departures. If they continue this history without a gap, the peer's proof holds for this node too: an
     * answer counts from the time of the query, because it was given later.
     */
    DepartureHistory withPeerDepartures(Departures message, long queriedMs) {
        DepartureHistory merged = withDeparted(message.departed());
        if (!isStarted() || message.sinceRevision() > revision) {
            return merged;
        }
        boolean answer = message.number() != Departures.UNASKED;
        long proof = answer ? Math.max(provenMs, queriedMs - message.ageMs()) : provenMs;
        return new DepartureHistory(merged.completeAfter, Math.max(revision, message.revision()), proof, merged.byKey);
    }

    /** Answers a peer's query. */
    Departures answer(DirectoryMessage.Query query, long nowMs) {
        long since = Math.min(Math.max(query.revision(), completeAfter), revision);
        List<DepartedBackend> later =
                byKey.values().filter(d -> d.revision() > since).toJavaList();
        return new Departures(query.number(), since, revision, ageMs(nowMs), later);
    }

    /** Returns whether a server was removed after its entry was written. */
    boolean isRemoved(String key, long entryRevision) {
        return byKey.get(key).exists(d -> d.removed() && d.revision() > entryRevision);
    }

    /** Returns whether a server has announced that it leaves, by its entry or a newer one. */
    boolean isLeaving(String key, long entryRevision) {
        return byKey.get(key).exists(d -> !d.removed() && d.revision() >= entryRevision);
    }

    private Map<String, DepartedBackend> merge(Collection<DepartedBackend> found) {
        Map<String, DepartedBackend> merged = byKey;
        for (DepartedBackend departed : found) {
            boolean known = merged.get(departed.key()).exists(d -> d.revision() >= departed.revision());
            merged = known ? merged : merged.put(departed.key(), departed);
        }
        return merged;
    }

    private DepartureHistory bounded() {
        if (byKey.size() <= MAX_DEPARTURES) {
            return this;
        }
        Seq<DepartedBackend> ordered = byKey.values().sorted(Comparator.comparingLong(DepartedBackend::revision));
        Seq<DepartedBackend> dropped = ordered.dropRight(RETAINED_DEPARTURES);
        long from = Math.max(completeAfter, dropped.last().revision());
        return new DepartureHistory(
                from, Math.max(from, revision), provenMs, byKey.removeAll(dropped.map(DepartedBackend::key)));
    }
}
