package org.fuchsiadeck.core.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.speed.ServerTimes;

/**
 * Divides the sums of times of backend servers into small parts, one of which goes into each report. The speed of
 * servers changes slowly, so that an old part does no harm, while all sums would be most of a report in a large fleet.
 */
final class ServerTimesParts {
    /** Mean number of servers in a part: 8 servers of about 28 bytes in 4 reports a second are 900 B/s. */
    private static final int SERVERS_PER_PART = 8;

    /** Time for which reports contain the same part, in milliseconds: the time between two reports. */
    private static final long PART_MS = 500;

    private ServerTimesParts() {}

    /** Returns a part of this node's sums. */
    static Map<BackendId, ServerTimes> local(View view) {
        Map<BackendId, ServerTimes> all = view.work().serverTimes(view.nowMs());
        Map<BackendId, ServerTimes> part = new HashMap<>();
        for (BackendId id : part(all.keySet(), view.nowMs())) {
            part.put(id, all.get(id));
        }
        return part;
    }

    /** Returns the servers that are in the present part of the sums of this node and all others. */
    static Collection<BackendId> servers(ShareState state, View view) {
        Set<BackendId> ids = new HashSet<>(view.work().serverTimes(view.nowMs()).keySet());
        state.hearing().forEach(r -> r.times().keySet().forEach(ids::add));
        return part(ids, view.nowMs());
    }

    /** Returns the sums of this node and of other nodes for some servers. */
    static Map<BackendId, ServerTimes> total(View view, PeerUsage others, Collection<BackendId> servers) {
        if (servers.isEmpty()) {
            return Map.of();
        }
        Map<BackendId, ServerTimes> local = view.work().serverTimes(view.nowMs());
        Map<BackendId, ServerTimes> part = new HashMap<>();
        for (BackendId id : servers) {
            ServerTimes sum = local.getOrDefault(id, ServerTimes.NONE).plus(others.serverTimes(id));
            if (sum.expectedMs() > 0) {
                part.put(id, sum);
            }
        }
        return part;
    }

    private static Collection<BackendId> part(Set<BackendId> ids, long nowMs) {
        int parts = (ids.size() + SERVERS_PER_PART - 1) / SERVERS_PER_PART;
        if (parts <= 1) {
            return ids;
        }
        long current = Math.floorMod(Math.floorDiv(nowMs, PART_MS), (long) parts);
        return ids.stream()
                .filter(id -> Math.floorMod(id.value().hashCode(), parts) == current)
                .toList();
    }
}
