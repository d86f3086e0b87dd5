package org.fuchsiadeck.core.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.SettingsEvent;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.Position;
import org.fuchsiadeck.core.platform.WatchedKeys;

/**
 * Acquires the leadership when no node has it, and performs the duties of the leader while this node is the leader:
 * usage reports, usage records and orders of backend servers.
 */
public final class DutyReducer implements Reducer<DutyState> {
    private static final long TICK_INTERVAL_MS = 100;

    /**
     * Number of nodes that may become leader. If all of them are lost at once, there is no leader until the others
     * detect the loss and become candidates.
     */
    private static final int MAX_CANDIDATES = 8;

    @Override
    public Step<DutyState> reduce(DutyState state, View view, Event event) {
        if (event instanceof LifecycleEvent.Started) {
            DutyState started =
                    state.with(state.keys().withSeed(view.self().seed())).candidate(isCandidate(view, view.peers()));
            return Step.of(started, new Effect.Schedule(view.nowMs(), new DutyEvent.Tick()));
        }
        if (event instanceof SettingsEvent.Changed changed) {
            return Step.of(state.with(changed.duties()));
        }
        if (event instanceof MembershipEvent.Changed changed) {
            return Step.of(state.candidate(isCandidate(view, changed.peers())));
        }
        if (event instanceof DutyEvent.Tick) {
            return onTick(state, view);
        }
        if (event instanceof DutyEvent.Called called) {
            return onCalled(state, view, called);
        }
        if (event instanceof PlatformEvent.Listed listed) {
            return Step.of(state.with(state.orders().onListed(view.nowMs(), listed.backends())));
        }
        if (event instanceof PlatformEvent platform) {
            return onPlatformEvent(state, view, platform);
        }
        return Step.of(state);
    }

    private Step<DutyState> onTick(DutyState state, View view) {
        List<Effect> out = new ArrayList<>();
        if (CallSchedule.isStarting(view)) {
            return Step.of(state, new Effect.Schedule(view.nowMs() + TICK_INTERVAL_MS, new DutyEvent.Tick()));
        }
        if (!state.watchesKeys()) {
            out.add(new Effect.Schedule(CallSchedule.nextTickMs(view.nowMs()), new DutyEvent.Tick()));
            return new Step<>(state.with(state.keys().known() ? state.keys().withStaleCopy() : state.keys()), out);
        }
        WatchedKeys.Update keys = state.keys().onTick(view.nowMs());
        out.addAll(keys.effects());
        DutyState next = state.with(keys.next());
        if (keys.next().position().isPresent()) {
            long era = Position.era(keys.next().position().getAsLong());
            next = next.with(next.usage().inEra(era, view.usage().medianWallMs(view.nowMs())));
        }
        if (keys.next().known()) {
            String ownValue = view.self().id() + " " + view.usage().own().startedWallMs();
            Update<Leadership> holding = next.holding()
                    .onTick(
                            view,
                            entry(next, Leadership.KEY),
                            ownValue,
                            next.rules().leaseMs());
            out.addAll(holding.effects());
            next = next.with(holding.next());
        }
        if (next.holding().isLeader(view)) {
            Update<UsageRecordWriter> use = next.use().writeIfDue(view);
            out.addAll(use.effects());
            Update<FirstLeaderCheck> term = next.term().writeIfUnknown(view);
            out.addAll(term.effects());
            next = next.with(use.next()).with(term.next());
        } else {
            next = next.with(FirstLeaderCheck.UNKNOWN);
        }
        if (next.mayAct(view)) {
            next = performDuties(next, view, out);
        }
        out.add(new Effect.Schedule(view.nowMs() + TICK_INTERVAL_MS, new DutyEvent.Tick()));
        return new Step<>(next, out);
    }

    /**
     * Returns whether this node is a candidate. In a large fleet a few are enough, and the others need not watch the
     * keys.
     */
    private static boolean isCandidate(View view, Peers peers) {
        long own = Rendezvous.score(Leadership.KEY, view.self().id().value());
        return peers.alive().keySet().stream()
                        .filter(id -> Long.compareUnsigned(Rendezvous.score(Leadership.KEY, id.value()), own) > 0)
                        .limit(MAX_CANDIDATES)
                        .count()
                < MAX_CANDIDATES;
    }

    private DutyState performDuties(DutyState state, View view, List<Effect> out) {
        long fencingToken = state.holding().fencingToken();
        Update<UsageReporter> usage =
                state.usage().callIfDue(view, state.rules(), fencingToken, entry(state, UsageReporter.KEY));
        out.addAll(usage.effects());
        Update<Autoscaler> orders = state.orders().orderIfDue(view, fencingToken);
        out.addAll(orders.effects());
        return state.with(usage.next()).with(orders.next());
    }

    private static Step<DutyState> onCalled(DutyState state, View view, DutyEvent.Called event) {
        Update<UsageReporter> usage = state.usage().onCalled(view.nowMs(), event);
        Update<Autoscaler> orders = state.orders().onCalled(view.nowMs(), event);
        List<Effect> out = new ArrayList<>(usage.effects());
        out.addAll(orders.effects());
        return new Step<>(state.with(usage.next()).with(orders.next()), out);
    }

    private Step<DutyState> onPlatformEvent(DutyState state, View view, PlatformEvent event) {
        WatchedKeys.Update keys = state.watchesKeys()
                ? state.keys().onPlatformEvent(view.nowMs(), event)
                : new WatchedKeys.Update(state.keys(), false, List.of());
        Update<Leadership> holding = state.holding().onPlatformEvent(view, event);
        List<Effect> out = new ArrayList<>(keys.effects());
        out.addAll(holding.effects());
        DutyState next = state.with(keys.next())
                .with(holding.next())
                .with(state.usage().onPlatformEvent(view.nowMs(), event))
                .with(state.use().onPlatformEvent(view.nowMs(), event))
                .with(state.term().onPlatformEvent(view.nowMs(), event));
        return new Step<>(next, out);
    }

    private static Optional<PlatformEvent.Entry> entry(DutyState state, String key) {
        return state.keys().items().get(key).toJavaOptional();
    }
}
