package org.fuchsiadeck.core.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.TeamId;

/** Builds usage reports: of this node alone, and of this node together with others. */
final class ShareReports {
    private ShareReports() {}

    /**
     * Returns the total usage of this node and of other nodes.
     *
     * @param state the state of this node
     * @param view the view of this node
     * @param others the usage of the other nodes to include
     * @param timed the servers whose sums of times are included
     * @return the total, as a report of a single run that started with the oldest of the runs
     */
    static ShareReport total(ShareState state, View view, PeerUsage others, Collection<BackendId> timed) {
        long nowMs = view.nowMs();
        ShareState combined = state.with(others);
        ShareReport local = local(state, view);
        Set<TeamId> teams = new TreeSet<>(local.spent().keySet());
        teams.addAll(local.refused().keySet());
        Set<String> services = new TreeSet<>(local.services().keySet());
        Set<Long> windows = new TreeSet<>(local.begun().keySet());
        Set<BackendId> servers = new HashSet<>(local.inFlight().keySet());
        Set<BackendId> unreadServers = new HashSet<>(local.unread().keySet());
        others.forEach(r -> {
            teams.addAll(r.report().spent().keySet());
            teams.addAll(r.report().refused().keySet());
            services.addAll(r.report().services().keySet());
            windows.addAll(r.report().begun().keySet());
            servers.addAll(r.report().inFlight().keySet());
            unreadServers.addAll(r.report().unread().keySet());
        });
        Map<TeamId, Long> spent = new HashMap<>();
        teams.forEach(t -> spent.put(t, Math.round(combined.countedUnits(nowMs, t))));
        Map<TeamId, Long> lately = new HashMap<>();
        teams.forEach(t -> lately.put(
                t,
                local.lately().getOrDefault(t, 0L)
                        + (long) others.maxSum(r -> r.report().lately().getOrDefault(t, 0L))));
        Map<TeamId, Long> refused = new HashMap<>();
        teams.forEach(t -> refused.put(
                t,
                local.refused().getOrDefault(t, 0L)
                        + (long) others.maxSum(r -> r.report().refused().getOrDefault(t, 0L))));
        Map<String, ShareReport.ServiceUse> uses = new HashMap<>();
        services.forEach(s -> uses.put(s, combined.serviceUse(view, s)));
        Map<Long, Map<TeamId, Long>> begun = new HashMap<>();
        windows.forEach(w -> begun.put(w, combined.begunInReportedRuns(w)));
        Map<BackendId, Integer> inFlight = new HashMap<>();
        servers.forEach(
                b -> inFlight.put(b, local.inFlight().getOrDefault(b, 0) + combined.inFlightElsewhere(nowMs, b)));
        Map<BackendId, Integer> unread = new HashMap<>();
        unreadServers.forEach(
                b -> unread.put(b, local.unread().getOrDefault(b, 0) + combined.unreadElsewhere(nowMs, b)));
        Map<String, Long> newest = new HashMap<>(local.newest());
        others.forEach(
                r -> r.report().newest().forEach((prefix, revision) -> newest.merge(prefix, revision, Math::max)));
        long age = nowMs - combined.earliestStartMs();
        return new ShareReport(
                view.wallMs(),
                local.startedWallMs(),
                age,
                spent,
                lately,
                refused,
                uses,
                begun,
                inFlight,
                unread,
                true,
                newest,
                ServerTimesParts.total(view, others, timed));
    }

    /**
     * Returns the usage of this node alone.
     *
     * @param state the state of this node
     * @param view the view of this node
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
                    new ShareReport.ServiceUse(
                            own.requests(service, from).total(),
                            repeats,
                            view.work().waitingRequests().getOrDefault(service, 0)));
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
                view.work().unreadTokens(),
                true,
                view.work().newestRevisions(),
                ServerTimesParts.local(view));
    }
}
