package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

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
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Counts what this node spends and tells the other nodes, or those that add up for all, a few times a second.
 */
public final class ShareReducer implements Reducer<ShareState> {
    /** Time between reports: small against the windows of the limits, which are seconds long. */
    private static final long REPORT_MS = 250;

    /** Time between reports for each other node, where each tells every other one. */
    private static final long REPORT_MS_PER_PEER = 15;

    /** Time between reports to aggregators, and between sums. */
    private static final long GROUPED_REPORT_MS = 500;

    /** The same while a team comes near its quota: what all nodes take meanwhile is a small part of its slack. */
    private static final long PRESSED_REPORT_MS = 150;

    /** Part of a quota from which on it matters what others have just taken. */
    private static final double PRESSED = 0.5;

    /** A node that has just started is heard sooner, since it keeps to its own part of the limits until then. */
    private static final long START_MS = 3_000;

    /** Reports of a run that ended are of use for as long as the longest window. */
    private static final long KEPT_MS = 30_000;

    @Override
    public Step<ShareState> reduce(ShareState state, View view, Event event) {
        long now = view.nowMs();
        if (event instanceof ShareEvent share) {
            return share instanceof ShareEvent.Tick ? ticked(state, view) : Step.of(counted(state, now, share));
        }
        if (event instanceof PeerReceived received && received.message() instanceof ShareReport report) {
            return Step.of(timed(state.with(state.hearing().heard(received.from(), report, now)), view));
        }
        if (event instanceof PeerReceived received && received.message() instanceof ShareSum sum) {
            return Step.of(timed(state.with(state.hearing().heard(sum, now)), view));
        }
        if (event instanceof PlatformEvent.Listed listed && !listed.nodes().isEmpty()) {
            return planned(state.withNodes(listed.nodes().size()), view, view.peers());
        }
        if (event instanceof MembershipEvent.Changed changed) {
            return planned(state, view, changed.peers());
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
        if (event instanceof ShareEvent.Refused refused) {
            return state.with(own.refused(refused.team(), refused.units(), nowMs));
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
        Hearing kept = state.hearing().since(now - KEPT_MS);
        Hearing hearing =
                kept.plan().self().equals(view.self().id()) ? kept : kept.with(plan(state, view, view.peers()));
        ShareState next = timed(state.with(hearing), view);
        List<Effect> out = new ArrayList<>();
        Past.Update past =
                next.past().tick(now, next.own().startedMs(), next.rules().quotaWindowMs());
        out.addAll(past.effects());
        Aggregation plan = next.hearing().plan();
        ShareReport report = Totals.own(next, view);
        plan.reportsTo().forEach(peer -> out.add(new Effect.Send(peer, report)));
        plan.plane().ifPresent(plane -> out.addAll(sums(next, view, plane)));
        out.add(new Effect.Schedule(now + pauseMs(next, view), new ShareEvent.Tick()));
        return new Step<>(next.with(past.past()), out);
    }

    private static long pauseMs(ShareState state, View view) {
        long nowMs = view.nowMs();
        Aggregation plan = state.hearing().plan();
        if (!plan.grouped()) {
            return REPORT_MS + REPORT_MS_PER_PEER * plan.members().size() / 2;
        }
        if (pressed(state, view)) {
            return PRESSED_REPORT_MS;
        }
        return nowMs - state.own().startedMs() < START_MS ? REPORT_MS : GROUPED_REPORT_MS;
    }

    /** Tells whether a team comes near its quota, so that what is not known yet matters. */
    private static boolean pressed(ShareState state, View view) {
        return view.config().teams().stream()
                .filter(t -> t.quota().isLimited())
                .map(t -> state.room(view.nowMs(), t.id(), t.quota()))
                .anyMatch(r -> r.used() > PRESSED * r.limit());
    }

    /** Tells the other groups of this one, and the members of this one of all others. */
    private static List<Effect> sums(ShareState state, View view, int plane) {
        long now = view.nowMs();
        Hearing hearing = state.hearing();
        Aggregation plan = hearing.plan();
        Hearing group = hearing.ofGroup();
        ShareSum sum = new ShareSum(
                plane,
                plan.groups(),
                plan.group(),
                state.with(group).nodesHeard(now),
                Totals.total(state, view, group));
        List<Effect> out = new ArrayList<>();
        plan.others(plane).forEach(peer -> out.add(new Effect.Send(peer, sum)));
        Hearing direct = hearing.direct();
        for (NodeId member : plan.members()) {
            Hearing rest = direct.without(member);
            int nodes = state.with(rest).nodesHeard(now);
            ShareReport total = Totals.total(state, view, rest);
            out.add(new Effect.Send(member, new ShareSum(plane, plan.groups(), ShareSum.REST, nodes, total)));
        }
        return out;
    }

    /**
     * Takes a change of the fleet. Nodes that have just come up, or now add up for this one, are told at once: until they
     * are heard, each node keeps to its part of the limits.
     */
    private static Step<ShareState> planned(ShareState state, View view, Peers peers) {
        Set<NodeId> before = Set.copyOf(state.hearing().plan().reportsTo());
        Aggregation plan = plan(state, view, peers);
        ShareState next = state.with(state.hearing().with(plan));
        List<Effect> out = new ArrayList<>();
        for (NodeId peer : plan.reportsTo()) {
            boolean unheard = !plan.grouped() && !next.hearing().hears(peer, view.nowMs(), state.freshMs());
            if (unheard || !before.contains(peer)) {
                out.add(new Effect.Send(peer, Totals.own(next, view)));
            }
        }
        return new Step<>(next, out);
    }

    private static Aggregation plan(ShareState state, View view, Peers peers) {
        return Aggregation.of(view.self().id(), peers.alive().keySet(), state.nodes());
    }

    private static ShareState timed(ShareState state, View view) {
        long now = view.nowMs();
        List<Long> offsets = new ArrayList<>();
        offsets.add(view.wallMs() - now);
        state.hearing().each(heard -> {
            if (heard.fresh(now, state.freshMs())) {
                offsets.add(heard.report().wallMs() - heard.atMs());
            }
        });
        return state.withOffset(ShareState.median(offsets));
    }
}
