package org.fuchsiadeck.core.share;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * What one run of this node's process has spent and begun.
 *
 * @param startedMs when the run started, in milliseconds
 * @param startedWallMs its time of day then, in milliseconds since 1970
 * @param spent units that teams spent
 * @param refused units that were refused lately for a quota
 * @param requests requests for services
 * @param repeats repeated attempts at services
 * @param begun requests of teams that servers began, by usage window
 */
public record LocalUsage(
        long startedMs,
        long startedWallMs,
        Map<TeamId, SlidingWindowCounter> spent,
        Map<TeamId, SlidingWindowCounter> refused,
        Map<String, SlidingWindowCounter> requests,
        Map<String, SlidingWindowCounter> repeats,
        TreeMap<Long, Map<TeamId, Long>> begun) {
    static final LocalUsage NONE =
            new LocalUsage(0, 0, HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(), TreeMap.empty());

    /** Usage windows that are kept: enough for a report that is due two windows after its own. */
    private static final int KEPT_WINDOWS = 5;

    public LocalUsage {
        requireNonNull(spent, "spent");
        requireNonNull(refused, "refused");
        requireNonNull(requests, "requests");
        requireNonNull(repeats, "repeats");
        requireNonNull(begun, "begun");
    }

    LocalUsage started(long nowMs, long wallMs) {
        return new LocalUsage(nowMs, wallMs, spent, refused, requests, repeats, begun);
    }

    LocalUsage spent(TeamId team, long units, long nowMs, long windowMs) {
        SlidingWindowCounter next = spent(team, nowMs - windowMs).plus(nowMs, units);
        return new LocalUsage(startedMs, startedWallMs, spent.put(team, next), refused, requests, repeats, begun);
    }

    LocalUsage refused(TeamId team, long units, long nowMs) {
        SlidingWindowCounter next = refused(team, nowMs - ShareState.RECENT_MS).plus(nowMs, units);
        return new LocalUsage(startedMs, startedWallMs, spent, refused.put(team, next), requests, repeats, begun);
    }

    LocalUsage requested(String service, long nowMs, long windowMs) {
        SlidingWindowCounter next = requests(service, nowMs - windowMs).plus(nowMs, 1);
        return new LocalUsage(startedMs, startedWallMs, spent, refused, requests.put(service, next), repeats, begun);
    }

    LocalUsage repeated(String service, long nowMs, long windowMs) {
        SlidingWindowCounter next = repeats(service, nowMs - windowMs).plus(nowMs, 1);
        return new LocalUsage(startedMs, startedWallMs, spent, refused, requests, repeats.put(service, next), begun);
    }

    LocalUsage begun(TeamId team, long window) {
        Map<TeamId, Long> counts = begun.getOrElse(window, HashMap.empty());
        TreeMap<Long, Map<TeamId, Long>> all = begun.put(window, counts.put(team, 1L, Long::sum));
        while (all.size() > KEPT_WINDOWS) {
            all = all.remove(all.head()._1);
        }
        return new LocalUsage(startedMs, startedWallMs, spent, refused, requests, repeats, all);
    }

    SlidingWindowCounter spent(TeamId team, long fromMs) {
        return spent.getOrElse(team, SlidingWindowCounter.EMPTY).since(fromMs);
    }

    SlidingWindowCounter refused(TeamId team, long fromMs) {
        return refused.getOrElse(team, SlidingWindowCounter.EMPTY).since(fromMs);
    }

    SlidingWindowCounter requests(String service, long fromMs) {
        return requests.getOrElse(service, SlidingWindowCounter.EMPTY).since(fromMs);
    }

    SlidingWindowCounter repeats(String service, long fromMs) {
        return repeats.getOrElse(service, SlidingWindowCounter.EMPTY).since(fromMs);
    }
}
