package org.fuchsiadeck.core.share;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.TeamId;

/** Writes down what a node has used, and what it and others have used together. */
final class ShareReports {
    private ShareReports() {}

    /**
     * Adds up what this node and those that it hears have used.
     *
     * @param state what this node knows
     * @param view the node
     * @param others what is heard of the others
     * @return the sum as a report of one run that began with the oldest of them
     */
    static ShareReport total(ShareState state, View view, PeerUsage others) {
        long nowMs = view.nowMs();
        ShareState seen = state.with(others);
        ShareReport mine = local(state, view);
        Set<TeamId> teams = new TreeSet<>(mine.spent().keySet());
        teams.addAll(mine.refused().keySet());
        Set<String> services = new TreeSet<>(mine.services().keySet());
        Set<Long> windows = new TreeSet<>(mine.begun().keySet());
        Set<BackendId> servers = new HashSet<>(mine.inFlight().keySet());
        Set<BackendId> reading = new HashSet<>(mine.unread().keySet());
        others.forEach(h -> {
            teams.addAll(h.report().spent().keySet());
            teams.addAll(h.report().refused().keySet());
            services.addAll(h.report().services().keySet());
            windows.addAll(h.report().begun().keySet());
            servers.addAll(h.report().inFlight().keySet());
            reading.addAll(h.report().unread().keySet());
        });
        Map<TeamId, Long> spent = new HashMap<>();
        teams.forEach(t -> spent.put(t, Math.round(seen.countedUnits(nowMs, t))));
        Map<TeamId, Long> lately = new HashMap<>();
        teams.forEach(t -> lately.put(
                t,
                mine.lately().getOrDefault(t, 0L)
                        + (long) others.maxSum(h -> h.report().lately().getOrDefault(t, 0L))));
        Map<TeamId, Long> refused = new HashMap<>();
        teams.forEach(t -> refused.put(
                t,
                mine.refused().getOrDefault(t, 0L)
                        + (long) others.maxSum(h -> h.report().refused().getOrDefault(t, 0L))));
        Map<String, ShareReport.ServiceUse> uses = new HashMap<>();
        services.forEach(s -> uses.put(s, seen.serviceUse(nowMs, s)));
        Map<Long, Map<TeamId, Long>> begun = new HashMap<>();
        windows.forEach(w -> begun.put(w, seen.begunInReportedRuns(w)));
        Map<BackendId, Integer> busy = new HashMap<>();
        servers.forEach(b -> busy.put(b, mine.inFlight().getOrDefault(b, 0) + seen.inFlightElsewhere(nowMs, b)));
        Map<BackendId, Integer> unread = new HashMap<>();
        reading.forEach(b -> unread.put(b, mine.unread().getOrDefault(b, 0) + seen.unreadElsewhere(nowMs, b)));
        Map<String, Long> newest = new HashMap<>(mine.newest());
        others.forEach(
                h -> h.report().newest().forEach((prefix, revision) -> newest.merge(prefix, revision, Math::max)));
        long age = nowMs - seen.earliestStartMs();
        return new ShareReport(
                view.wallMs(), mine.startedWallMs(), age, spent, lately, refused, uses, begun, busy, unread, newest);
    }

    /**
     * Returns what this node has used itself.
     *
     * @param state what this node knows
     * @param view the node
     * @return the report
     */
    static ShareReport local(ShareState state, View view) {
        long nowMs = view.nowMs();
        ShareRules rules = state.rules();
        LocalUsage own = state.own();
        Map<TeamId, Long> spent = new HashMap<>();
        Map<TeamId, Long> lately = new HashMap<>();
        for (TeamId team : own.spent().keySet()) {
            long units = own.spent(team, nowMs - rules.quotaWindowMs()).total();
            if (units > 0) {
                spent.put(team, units);
                lately.put(team, own.spent(team, nowMs - ShareState.RECENT_MS).total());
            }
        }
        Map<TeamId, Long> refused = new HashMap<>();
        for (TeamId team : own.refused().keySet()) {
            long units = own.refused(team, nowMs - ShareState.RECENT_MS).total();
            if (units > 0) {
                refused.put(team, units);
            }
        }
        Map<String, ShareReport.ServiceUse> services = new HashMap<>();
        long from = nowMs - rules.retryWindowMs();
        for (String service : own.requests().keySet()) {
            long repeats = own.repeats(service, from).total();
            services.put(
                    service,
                    new ShareReport.ServiceUse(own.requests(service, from).total(), repeats));
        }
        Map<Long, Map<TeamId, Long>> begun = new HashMap<>();
        own.begun().forEach((window, counts) -> begun.put(window, counts.toJavaMap()));
        return new ShareReport(
                view.wallMs(),
                own.startedWallMs(),
                nowMs - own.startedMs(),
                spent,
                lately,
                refused,
                services,
                begun,
                view.work().inFlight(),
                view.work().unread(),
                view.work().newest());
    }
}
