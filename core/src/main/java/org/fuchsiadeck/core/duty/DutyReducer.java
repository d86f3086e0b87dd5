package org.fuchsiadeck.core.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.SettingsEvent;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.WatchedKeys;

/**
 * Takes the duties when no node holds them, and carries them out while this node does.
 */
public final class DutyReducer implements Reducer<DutyState> {
    private static final long TICK_MS = 100;

    /** So many nodes can be lost at once without a pause in the duties; more are missed only until that is noticed. */
    private static final int CANDIDATES = 8;

    @Override
    public Step<DutyState> reduce(DutyState state, View view, Event event) {
        if (event instanceof Lifecycle.Started) {
            DutyState seeded =
                    state.with(state.keys().withSeed(view.self().seed())).candidate(stands(view, view.peers()));
            return Step.of(seeded, new Effect.Schedule(view.nowMs(), new DutyEvent.Tick()));
        }
        if (event instanceof SettingsEvent.Changed changed) {
            return Step.of(state.with(changed.duties()));
        }
        if (event instanceof MembershipEvent.Changed changed) {
            return Step.of(state.candidate(stands(view, changed.peers())));
        }
        if (event instanceof DutyEvent.Tick) {
            return ticked(state, view);
        }
        if (event instanceof DutyEvent.Called called) {
            return called(state, view, called);
        }
        if (event instanceof PlatformEvent.Listed listed) {
            return Step.of(state.with(state.orders().listed(view.nowMs(), listed.backends())));
        }
        if (event instanceof PlatformEvent platform) {
            return returned(state, view, platform);
        }
        return Step.of(state);
    }

    private Step<DutyState> ticked(DutyState state, View view) {
        List<Effect> out = new ArrayList<>();
        if (CallSchedule.isStarting(view)) {
            return Step.of(state, new Effect.Schedule(view.nowMs() + TICK_MS, new DutyEvent.Tick()));
        }
        if (!state.follows()) {
            out.add(new Effect.Schedule(CallSchedule.nextTickMs(view.nowMs()), new DutyEvent.Tick()));
            return new Step<>(state.with(state.keys().known() ? state.keys().withStaleCopy() : state.keys()), out);
        }
        WatchedKeys.Update keys = state.keys().onTick(view.nowMs());
        out.addAll(keys.effects());
        DutyState next = state.with(keys.next());
        if (keys.next().known()) {
            String mine = view.self().id() + " " + view.use().own().startedWallMs();
            Update<Holding> holding = next.holding()
                    .tick(view, entry(next, Holding.KEY), mine, next.rules().leaseMs());
            out.addAll(holding.effects());
            next = next.with(holding.next());
        }
        if (next.holding().holds(view)) {
            Update<UseDuty> use = next.use().act(view);
            out.addAll(use.effects());
            Update<Term> term = next.term().ask(view);
            out.addAll(term.effects());
            next = next.with(use.next()).with(term.next());
        } else {
            next = next.with(Term.UNKNOWN);
        }
        if (next.mayAct(view)) {
            next = act(next, view, out);
        }
        out.add(new Effect.Schedule(view.nowMs() + TICK_MS, new DutyEvent.Tick()));
        return new Step<>(next, out);
    }

    /** In a large fleet a few nodes are enough to take the duties, and the others need not follow who holds them. */
    private static boolean stands(View view, Peers peers) {
        long own = Rendezvous.score(Holding.KEY, view.self().id().value());
        return peers.alive().keySet().stream()
                        .filter(id -> Long.compareUnsigned(Rendezvous.score(Holding.KEY, id.value()), own) > 0)
                        .limit(CANDIDATES)
                        .count()
                < CANDIDATES;
    }

    private DutyState act(DutyState state, View view, List<Effect> out) {
        long fence = state.holding().fence();
        Update<UsageDuty> usage = state.usage().act(view, state.rules(), fence, entry(state, UsageDuty.KEY));
        out.addAll(usage.effects());
        Update<OrderDuty> orders = state.orders().act(view, fence);
        out.addAll(orders.effects());
        return state.with(usage.next()).with(orders.next());
    }

    private static Step<DutyState> called(DutyState state, View view, DutyEvent.Called event) {
        Update<UsageDuty> usage = state.usage().called(view.nowMs(), event);
        Update<OrderDuty> orders = state.orders().called(view.nowMs(), event);
        List<Effect> out = new ArrayList<>(usage.effects());
        out.addAll(orders.effects());
        return new Step<>(state.with(usage.next()).with(orders.next()), out);
    }

    private Step<DutyState> returned(DutyState state, View view, PlatformEvent event) {
        WatchedKeys.Update keys = state.follows()
                ? state.keys().onPlatformEvent(view.nowMs(), event)
                : new WatchedKeys.Update(state.keys(), false, List.of());
        Update<Holding> holding = state.holding().returned(view, event);
        List<Effect> out = new ArrayList<>(keys.effects());
        out.addAll(holding.effects());
        DutyState next = state.with(keys.next())
                .with(holding.next())
                .with(state.usage().returned(view.nowMs(), event))
                .with(state.use().returned(view.nowMs(), event))
                .with(state.term().returned(view.nowMs(), event));
        return new Step<>(next, out);
    }

    private static Optional<PlatformEvent.Entry> entry(DutyState state, String key) {
        return state.keys().items().get(key).toJavaOptional();
    }
}
