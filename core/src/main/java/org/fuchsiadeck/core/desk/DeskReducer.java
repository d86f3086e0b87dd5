package org.fuchsiadeck.core.desk;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.vavr.collection.Map;
import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.WatchedKeys;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutEvent;
import org.fuchsiadeck.core.rollout.RolloutOrder;

import static java.util.Objects.requireNonNull;

/**
 * Hands the operators' orders to the rollouts, and writes down how these stand. Every node does the first, so that all
 * hold a new version back from the start; the node that keeps a rollout's record does the second.
 */
public final class DeskReducer implements Reducer<DeskState> {
    private static final long ORDERS_WAIT_MS = 3_000;
    private static final long WRITE_TIMEOUT_MS = 1_000;
    private static final String WRITE = "desk/";

    private final OrderForm form;

    /**
     * Makes a reducer.
     *
     * @param form how orders and standings are written down
     */
    public DeskReducer(OrderForm form) {
        this.form = requireNonNull(form, "form");
    }

    @Override
    public Step<DeskState> reduce(DeskState state, View view, Event event) {
        if (event instanceof Lifecycle.Started) {
            return ticked(state.with(state.orders().withSeed(view.self().seed())), view);
        }
        if (event instanceof DeskEvent.Tick) {
            return ticked(state, view);
        }
        if (event instanceof DeskEvent.Stands stands) {
            return stands(state, view, stands.rollout());
        }
        if (event instanceof PlatformEvent platform) {
            return returned(state, view, platform);
        }
        return Step.of(state);
    }

    private static Step<DeskState> ticked(DeskState state, View view) {
        long now = view.nowMs();
        if (CallSchedule.isStarting(view)) {
            return Step.of(state, new Effect.Schedule(CallSchedule.nextTickMs(now), new DeskEvent.Tick()));
        }
        WatchedKeys paced = state.orders().withTiming(CallSchedule.watchWaitMs(view, ORDERS_WAIT_MS), 0);
        WatchedKeys.Update late = paced.onPeerRevision(now, view.use().newestSeen(DeskState.ORDERS));
        WatchedKeys.Update orders = late.next().onTick(now);
        List<Effect> out = new ArrayList<>(late.effects());
        out.addAll(orders.effects());
        out.add(new Effect.Schedule(CallSchedule.nextTickMs(now), new DeskEvent.Tick()));
        return new Step<>(state.with(orders.next()), out);
    }

    private Step<DeskState> returned(DeskState state, View view, PlatformEvent event) {
        WatchedKeys.Update orders = state.orders().onPlatformEvent(view.nowMs(), event);
        List<Effect> out = new ArrayList<>(orders.effects());
        DeskState next = written(state.with(orders.next()), event);
        if (orders.changed()) {
            next = read(next, out);
        }
        return new Step<>(next, out);
    }

    private DeskState read(DeskState state, List<Effect> out) {
        Map<String, Long> known = state.read();
        for (PlatformEvent.Entry entry : state.orders().items().values()) {
            if (known.get(entry.key()).exists(r -> r >= entry.revision())) {
                continue;
            }
            known = known.put(entry.key(), entry.revision());
            Either<String, RolloutOrder> order = form.read(entry.value().orElse(""), entry.revision());
            if (order.isRight()) {
                out.add(new Effect.Raise(new RolloutEvent.Ordered(order.get())));
            }
            out.add(new Effect.Log(
                    order.isRight() ? EventCode.ROLLOUT_ORDERED : EventCode.ROLLOUT_ORDER_UNREADABLE,
                    entry.key() + " " + order.fold(e -> e, RolloutOrder::toString)));
        }
        return state.withRead(known);
    }

    private Step<DeskState> stands(DeskState state, View view, Rollout rollout) {
        String service = rollout.service();
        boolean asked = state.read().get(DeskState.ORDERS + service).exists(r -> r == rollout.number());
        String text = form.write(rollout.newVersion(), standing(rollout));
        String full = rollout.number() + " " + text;
        boolean said = state.written().get(service).exists(full::equals);
        boolean saying = state.writing().get(service).exists(w -> view.nowMs() < w.untilMs());
        if (!asked || said || saying) {
            return Step.of(state);
        }
        String tag = WRITE + service + "/" + state.sequence();
        DeskState.Writing writing = new DeskState.Writing(tag, full, view.nowMs() + WRITE_TIMEOUT_MS);
        DeskState next = state.with(state.written(), state.writing().put(service, writing), state.sequence() + 1);
        return Step.of(next, new PlatformEffect.Put(tag, DeskState.STANDINGS + service, text, OptionalLong.empty()));
    }

    private static DeskState written(DeskState state, PlatformEvent event) {
        if (!(event instanceof PlatformEvent.Written done) || !done.tag().startsWith(WRITE)) {
            return state;
        }
        for (var entry : state.writing()) {
            if (entry._2.tag().equals(done.tag())) {
                return state.with(
                        state.written().put(entry._1, entry._2.text()),
                        state.writing().remove(entry._1),
                        state.sequence());
            }
        }
        return state;
    }

    private static OrderForm.Standing standing(Rollout rollout) {
        return switch (rollout.stage()) {
            case DONE -> OrderForm.Standing.DONE;
            case TAKEN_BACK -> OrderForm.Standing.TAKEN_BACK;
            default -> OrderForm.Standing.RUNNING;
        };
    }
}
