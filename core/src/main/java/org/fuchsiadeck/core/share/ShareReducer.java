package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vavr.collection.Map;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.SettingsEvent;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.share.ShareState.Heard;
import org.fuchsiadeck.core.share.ShareState.Run;

/**
 * Counts what this node spends and tells the other nodes a few times a second.
 */
public final class ShareReducer implements Reducer<ShareState> {
    /** Time between reports: small against the windows of the limits, which are seconds long. */
    private static final long REPORT_MS = 250;

    /** Time between reports for each other node, so that a large fleet's reports stay few. */
    private static final long REPORT_MS_PER_PEER = 15;

    /** Reports of a run that ended are of use for as long as the longest window. */
    private static final long KEPT_MS = 30_000;

    @Override
    public Step<ShareState> reduce(ShareState state, View view, Event event) {
        long now = view.nowMs();
        if (event instanceof ShareEvent share) {
            return share instanceof ShareEvent.Tick ? ticked(state, view) : Step.of(counted(state, now, share));
        }
        if (event instanceof PeerReceived received && received.message() instanceof ShareReport report) {
            return Step.of(heard(state, view, received.from(), report));
        }
        if (event instanceof PlatformEvent.Listed listed && !listed.nodes().isEmpty()) {
            return Step.of(state.withNodes(listed.nodes().size()));
        }
        if (event instanceof MembershipEvent.Changed changed) {
            return new Step<>(state, greet(state, view, changed.peers()));
        }
        if (event instanceof PlatformEvent returned) {
            Past.Update past = state.past().returned(view, returned);
            return new Step<>(state.with(past.past()), past.effects());
        }
        if (event instanceof SettingsEvent.Changed changed) {
            return Step.of(state.with(changed.sharing()));
        }
        if (event instanceof Lifecycle.Started) {
            ShareState started =
                    state.with(state.own().started(now, view.wallMs())).withOffset(view.wallMs() - now);
            Past.Update past = started.past().tick(now, now, state.rules().quotaWindowMs());
            List<Effect> out = new ArrayList<>(past.effects());
            out.add(new Effect.Schedule(now + REPORT_MS, new ShareEvent.Tick()));
            return new Step<>(started.with(past.past()), out);
        }
        return Step.of(state);
    }

    private static ShareState counted(ShareState state, long nowMs, ShareEvent event) {
        ShareRules rules = state.rules();
        OwnUse own = state.own();
        if (event instanceof ShareEvent.Spent spent) {
            return state.with(own.spent(spent.team(), spent.units(), nowMs, rules.quotaWindowMs()));
        }
        if (event instanceof ShareEvent.Requested requested) {
            return state.with(own.requested(requested.service(), nowMs, rules.retryWindowMs()));
        }
        if (event instanceof ShareEvent.Repeated repeated) {
            return state.with(own.repeated(repeated.service(), nowMs, rules.retryWindowMs()));
        }
        if (event instanceof ShareEvent.Begun begun) {
            long window = Math.floorDiv(state.trueWallMs(begun.atMs()), rules.usageWindowMs());
            return state.with(own.begun(begun.team(), window));
        }
        return state;
    }

    private static Step<ShareState> ticked(ShareState state, View view) {
        long now = view.nowMs();
        Map<Run, Heard> kept = state.heard().filterValues(h -> now - h.atMs() < KEPT_MS);
        ShareState next = timed(state.with(kept), view);
        List<Effect> out = new ArrayList<>();
        Past.Update past =
                next.past().tick(now, next.own().startedMs(), next.rules().quotaWindowMs());
        out.addAll(past.effects());
        ShareReport report = report(next, view);
        for (NodeId peer : view.peers().alive().keySet()) {
            out.add(new Effect.Send(peer, report));
        }
        long pause = REPORT_MS + REPORT_MS_PER_PEER * view.peers().alive().size() / 2;
        out.add(new Effect.Schedule(now + pause, new ShareEvent.Tick()));
        return new Step<>(next.with(past.past()), out);
    }

    /** Tells nodes that have just come up at once: until they are heard, each node keeps to its part of the limits. */
    private static List<Effect> greet(ShareState state, View view, Peers peers) {
        Set<NodeId> unheard = new HashSet<>(peers.alive().keySet());
        state.heard().forEach((run, last) -> {
            if (last.fresh(view.nowMs())) {
                unheard.remove(run.node());
            }
        });
        List<Effect> out = new ArrayList<>();
        unheard.forEach(peer -> out.add(new Effect.Send(peer, report(state, view))));
        return out;
    }

    private static ShareState timed(ShareState state, View view) {
        long now = view.nowMs();
        List<Long> offsets = new ArrayList<>();
        offsets.add(view.wallMs() - now);
        for (Heard other : state.heard().values()) {
            if (other.fresh(now)) {
                offsets.add(other.report().wallMs() - other.atMs());
            }
        }
        return state.withOffset(ShareState.median(offsets));
    }

    private static ShareReport report(ShareState state, View view) {
        long now = view.nowMs();
        ShareRules rules = state.rules();
        OwnUse own = state.own();
        java.util.Map<TeamId, Long> spent = new HashMap<>();
        for (TeamId team : own.spent().keySet()) {
            long units = own.spent(team, now - rules.quotaWindowMs()).total();
            if (units > 0) {
                spent.put(team, units);
            }
        }
        java.util.Map<String, ShareReport.ServiceUse> services = new HashMap<>();
        long from = now - rules.retryWindowMs();
        for (String service : own.requests().keySet()) {
            long repeats = own.repeats(service, from).total();
            services.put(
                    service,
                    new ShareReport.ServiceUse(own.requests(service, from).total(), repeats));
        }
        java.util.Map<Long, java.util.Map<TeamId, Long>> begun = new HashMap<>();
        own.begun().forEach((window, counts) -> begun.put(window, counts.toJavaMap()));
        return new ShareReport(
                view.wallMs(),
                own.startedWallMs(),
                now - own.startedMs(),
                spent,
                services,
                begun,
                view.work().inFlight());
    }

    private static ShareState heard(ShareState state, View view, NodeId from, ShareReport report) {
        Run run = new Run(from, report.startedWallMs());
        Heard now = new Heard(report, view.nowMs());
        return timed(state.with(state.heard().put(run, now)), view);
    }
}
