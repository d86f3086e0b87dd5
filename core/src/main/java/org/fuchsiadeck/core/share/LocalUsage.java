package org.fuchsiadeck.core.share;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * The usage that this node has counted since its process started.
 *
 * @param startedMs when the process started, in milliseconds of the monotonic clock
 * @param startedWallMs the node's time of day when the process started, in milliseconds since 1970
 * @param spent the units spent, by team
 * @param refused the units of requests recently refused because of a quota, by team
 * @param requests the requests, by service
 * @param repeats the retries, by service
 * @param begun the requests that backend servers have started to process, by usage window and team
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

    /** The number of usage windows kept: enough to report a window up to two windows after its end. */
    private static final int KEPT_WINDOWS = 5;

    public LocalUsage {
        requireNonNull(spent, "spent");
        requireNonNull(refused, "refused");
        requireNonNull(requests, "requests");
        requireNonNull(repeats, "repeats");
        requireNonNull(begun, "begun");
    }

    /** Sets the start of the process. */
    LocalUsage started(long nowMs, long wallMs) {
        return new LocalUsage(nowMs, wallMs, spent, refused, requests, repeats, begun);
    }

    /** Adds units that a team spent, and drops counts older than the window. */
    LocalUsage spent(TeamId team, long units, long nowMs, long windowMs) {
        SlidingWindowCounter next = spent(team, nowMs - windowMs).plus(nowMs, units);
        return new LocalUsage(startedMs, startedWallMs, spent.put(team, next), refused, requests, repeats, begun);
    }

    /** Adds units of a refused request of a team, and drops counts that are no longer recent. */
    LocalUsage refused(TeamId team, long units, long nowMs) {
        SlidingWindowCounter next = refused(team, nowMs - ShareState.RECENT_MS).plus(nowMs, units);
        return new LocalUsage(startedMs, startedWallMs, spent, refused.put(team, next), requests, repeats, begun);
    }

    /** Adds a request for a service, and drops counts older than the window. */
    LocalUsage requested(String service, long nowMs, long windowMs) {
        SlidingWindowCounter next = requests(service, nowMs - windowMs).plus(nowMs, 1);
        return new LocalUsage(startedMs, startedWallMs, spent, refused, requests.put(service, next), repeats, begun);
    }

    /** Adds a retry for a service, and drops counts older than the window. */
    LocalUsage repeated(String service, long nowMs, long windowMs) {
        SlidingWindowCounter next = repeats(service, nowMs - windowMs).plus(nowMs, 1);
        return new LocalUsage(startedMs, startedWallMs, spent, refused, requests, repeats.put(service, next), begun);
    }

    /** Adds a request that a backend server started to process in a usage window. */
    LocalUsage begun(TeamId team, long window) {
        Map<TeamId, Long> counts = begun.getOrElse(window, HashMap.empty());
        TreeMap<Long, Map<TeamId, Long>> windows = begun.put(window, counts.put(team, 1L, Long::sum));
        while (windows.size() > KEPT_WINDOWS) {
            windows = windows.remove(windows.head()._1);
        }
        return new LocalUsage(startedMs, startedWallMs, spent, refused, requests, repeats, windows);
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
