package org.fuchsiadeck.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.SettingsEvent;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Counts this node's usage, reports it to the other nodes several times a second, and keeps what they report. In a
 * large fleet the reports go to aggregators; see {@link AggregationPlan}.
 */
public final class ShareReducer implements Reducer<ShareState> {
    /** The time between reports, in milliseconds; short compared with the windows of the limits, which last seconds. */
    private static final long INTERVAL_MS = 250;

    /** The increase of the interval for every two peers in a fleet without groups, in milliseconds. */
    private static final long INTERVAL_MS_PER_TWO_PEERS = 15;

    /** The time between reports to aggregators, and between sums, in milliseconds. */
    private static final long GROUPED_INTERVAL_MS = 500;

    /**
     * The same while a team is near its quota: what all nodes admit in this time is a small part of the quota slack. The
     * figures of backend servers, most of a report, still go at the longer interval, so that sums fit small links.
     */
    private static final long NEAR_QUOTA_INTERVAL_MS = 150;

    /** The fraction of a quota from which on recent spending at other nodes matters. */
    private static final double NEAR_QUOTA = 0.5;

    /**
     * The time after a start in which a node of a group reports at the shorter interval, in milliseconds: until others
     * have received its report, it is limited to its own share of the limits.
     */
    private static final long STARTUP_MS = 3_000;

    /**
     * How long the last report of an ended run is kept, in milliseconds: it matters for as long as the longest window.
     */
    private static final long RETENTION_MS = 30_000;

    @Override
    public Step<ShareState> reduce(ShareState state, View view, Event event) {
        long now = view.nowMs();
        if (event instanceof ShareEvent share) {
            return share instanceof ShareEvent.Tick ? onTick(state, view) : Step.of(count(state, now, share));
        }
        if (event instanceof PeerReceived received && received.message() instanceof ShareReport report) {
            return Step.of(
                    withMedianClock(state.with(state.hearing().withReceived(received.from(), report, now)), view));
        }
        if (event instanceof PeerReceived received && received.message() instanceof ShareSum sum) {
            return Step.of(withMedianClock(state.with(state.hearing().withReceived(sum, now)), view));
        }
        if (event instanceof PlatformEvent.Listed listed && !listed.nodes().isEmpty()) {
            return onFleetChange(state.withNodes(listed.nodes().size()), view, view.peers());
        }
        if (event instanceof MembershipEvent.Changed changed) {
            return onFleetChange(state, view, changed.peers());
        }
        if (event instanceof PlatformEvent reply) {
            PriorUsage.Update prior = state.past().onReply(view, reply);
            return new Step<>(state.with(prior.priorUsage()), prior.effects());
        }
        if (event instanceof SettingsEvent.Changed changed) {
            return Step.of(state.with(changed.sharing()));
        }
        if (event instanceof LifecycleEvent.Started) {
            ShareState started =
                    state.with(state.own().started(now, view.wallMs())).withOffset(view.wallMs() - now);
            PriorUsage.Update prior =
                    started.past().tick(now, now, state.rules().quotaWindowMs());
            List<Effect> out = new ArrayList<>(prior.effects());
            out.add(new Effect.Schedule(now + INTERVAL_MS, new ShareEvent.Tick()));
            return new Step<>(started.with(prior.priorUsage()), out);
        }
        return Step.of(state);
    }

    private static ShareState count(ShareState state, long nowMs, ShareEvent event) {
        ShareRules rules = state.rules();
        LocalUsage own = state.own();
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
            long window = Math.floorDiv(state.medianWallMs(begun.atMs()), rules.usageWindowMs());
            return state.with(own.begun(begun.team(), window));
        }
        return state;
    }

    private static Step<ShareState> onTick(ShareState state, View view) {
        long now = view.nowMs();
        PeerUsage retained = state.hearing().receivedAfter(now - RETENTION_MS);
        PeerUsage peerUsage = retained.plan().self().equals(view.self().id())
                ? retained
                : retained.with(plan(state, view, view.peers()));
        ShareState next = withMedianClock(state.with(peerUsage), view)
                .withBursts(now, view.config().teams());
        List<Effect> out = new ArrayList<>();
        PriorUsage.Update prior =
                next.past().tick(now, next.own().startedMs(), next.rules().quotaWindowMs());
        out.addAll(prior.effects());
        AggregationPlan plan = next.hearing().plan();
        boolean servers = !plan.isGrouped() || now - next.serversSentMs() >= GROUPED_INTERVAL_MS;
        UnaryOperator<ShareReport> content = servers ? r -> r : ShareReport::withoutServers;
        ShareReport report = content.apply(ShareReports.local(next, view));
        plan.reportTargets().forEach(peer -> out.add(new Effect.Send(peer, report)));
        plan.ownPlane().ifPresent(plane -> out.addAll(sumMessages(next, view, plane, content)));
        out.add(new Effect.Schedule(now + intervalMs(next, view), new ShareEvent.Tick()));
        ShareState sent = servers ? next.withServersSent(now) : next;
        return new Step<>(sent.with(prior.priorUsage()), out);
    }

    private static long intervalMs(ShareState state, View view) {
        long nowMs = view.nowMs();
        AggregationPlan plan = state.hearing().plan();
        if (!plan.isGrouped()) {
            return INTERVAL_MS + INTERVAL_MS_PER_TWO_PEERS * plan.members().size() / 2;
        }
        if (isNearQuota(state, view)) {
            return NEAR_QUOTA_INTERVAL_MS;
        }
        return nowMs - state.own().startedMs() < STARTUP_MS ? INTERVAL_MS : GROUPED_INTERVAL_MS;
    }

    /** Returns whether any team is near its quota, so that usage not yet reported matters. */
    private static boolean isNearQuota(ShareState state, View view) {
        return view.config().teams().stream()
                .filter(t -> t.quota().isLimited())
                .map(t -> state.quotaStatus(view.nowMs(), t.id(), t.quota()))
                .anyMatch(s -> s.used() > NEAR_QUOTA * s.limit());
    }

    /**
     * Creates an aggregator's messages: the group's sum for the other groups, and for each member the total of the
     * rest.
     */
    private static List<Effect> sumMessages(
            ShareState state, View view, int plane, UnaryOperator<ShareReport> content) {
        long now = view.nowMs();
        PeerUsage peerUsage = state.hearing();
        AggregationPlan plan = peerUsage.plan();
        PeerUsage groupUsage = peerUsage.groupOnly();
        Collection<BackendId> timed = ServerTimesParts.servers(state, view);
        ShareSum sum = new ShareSum(
                plane,
                plan.groups(),
                plan.group(),
                state.with(groupUsage).reportingNodes(now),
                content.apply(ShareReports.total(state, view, groupUsage, timed)));
        List<Effect> out = new ArrayList<>();
        plan.otherAggregators(plane).forEach(peer -> out.add(new Effect.Send(peer, sum)));
        PeerUsage direct = peerUsage.withoutRestSums();
        for (NodeId member : plan.members()) {
            PeerUsage rest = direct.without(member);
            int nodes = state.with(rest).reportingNodes(now);
            ShareReport total = content.apply(ShareReports.total(state, view, rest, timed));
            out.add(new Effect.Send(member, new ShareSum(plane, plan.groups(), ShareSum.REST, nodes, total)));
        }
        return out;
    }

    /**
     * Updates the plan after a change of the fleet. New nodes, and new aggregators of this node, get a report at once:
     * until a node has received reports, it is limited to its own share of the limits.
     */
    private static Step<ShareState> onFleetChange(ShareState state, View view, Peers peers) {
        Set<NodeId> previousTargets = Set.copyOf(state.hearing().plan().reportTargets());
        AggregationPlan plan = plan(state, view, peers);
        ShareState next = state.with(state.hearing().with(plan));
        List<Effect> out = new ArrayList<>();
        for (NodeId peer : plan.reportTargets()) {
            boolean withoutReport =
                    !plan.isGrouped() && !next.hearing().hasFreshReport(peer, view.nowMs(), state.maxReportAgeMs());
            if (withoutReport || !previousTargets.contains(peer)) {
                out.add(new Effect.Send(peer, ShareReports.local(next, view)));
            }
        }
        return new Step<>(next, out);
    }

    private static AggregationPlan plan(ShareState state, View view, Peers peers) {
        return AggregationPlan.of(view.self().id(), peers.alive().keySet(), state.nodes());
    }

    /** Sets the clock offset to the median over this node and the nodes with recent reports. */
    private static ShareState withMedianClock(ShareState state, View view) {
        long now = view.nowMs();
        List<Long> offsets = new ArrayList<>();
        offsets.add(view.wallMs() - now);
        state.hearing().forEach(received -> {
            if (received.isFresh(now, state.maxReportAgeMs())) {
                offsets.add(received.report().wallMs() - received.atMs());
            }
        });
        return state.withOffset(ShareState.median(offsets));
    }
}
