package org.fuchsiadeck.core.desk;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.vavr.collection.Map;
import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.Position;
import org.fuchsiadeck.core.platform.WatchedKeys;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutEvent;
import org.fuchsiadeck.core.rollout.RolloutOrder;

import static java.util.Objects.requireNonNull;

/**
 * Reads operators' rollout orders from the platform's key-value service and writes the status of rollouts there. Every
 * node reads the orders, so that all of them withhold a new version from the start. Only the node that writes a
 * rollout's record writes its status.
 */
public final class RolloutOrderReducer implements Reducer<RolloutOrderState> {
    private static final long WATCH_WAIT_MS = 3_000;
    private static final long WRITE_TIMEOUT_MS = 1_000;
    private static final String WRITE_TAG_PREFIX = "desk/";

    private final RolloutOrderCodec codec;

    /**
     * Creates a reducer.
     *
     * @param codec the format of orders and statuses
     */
    public RolloutOrderReducer(RolloutOrderCodec codec) {
        this.codec = requireNonNull(codec, "codec");
    }

    @Override
    public Step<RolloutOrderState> reduce(RolloutOrderState state, View view, Event event) {
        if (event instanceof LifecycleEvent.Started) {
            return onTick(state.with(state.orders().withSeed(view.self().seed())), view);
        }
        if (event instanceof RolloutOrderEvent.Tick) {
            return onTick(state, view);
        }
        if (event instanceof RolloutOrderEvent.Stands stands) {
            return onStands(state, view, stands.rollout());
        }
        if (event instanceof PlatformEvent platform) {
            return onPlatformEvent(state, view, platform);
        }
        return Step.of(state);
    }

    private static Step<RolloutOrderState> onTick(RolloutOrderState state, View view) {
        long now = view.nowMs();
        if (CallSchedule.isStarting(view)) {
            return Step.of(state, new Effect.Schedule(CallSchedule.nextTickMs(now), new RolloutOrderEvent.Tick()));
        }
        WatchedKeys paced = state.orders().withTiming(CallSchedule.watchWaitMs(view, WATCH_WAIT_MS), 0);
        WatchedKeys.Update hurried =
                paced.onPeerRevision(now, view.usage().newestPeerRevision(RolloutOrderState.ORDERS_PREFIX));
        WatchedKeys.Update orders = hurried.next().onTick(now);
        List<Effect> out = new ArrayList<>(hurried.effects());
        out.addAll(orders.effects());
        out.add(new Effect.Schedule(CallSchedule.nextTickMs(now), new RolloutOrderEvent.Tick()));
        return new Step<>(state.with(orders.next()), out);
    }

    private Step<RolloutOrderState> onPlatformEvent(RolloutOrderState state, View view, PlatformEvent event) {
        WatchedKeys.Update orders = state.orders().onPlatformEvent(view.nowMs(), event);
        List<Effect> out = new ArrayList<>(orders.effects());
        RolloutOrderState next = onWritten(state.with(orders.next()), event);
        if (orders.changed()) {
            next = readOrders(next, out);
        }
        return new Step<>(next, out);
    }

    /** Reads new orders. In a new era of the service, statuses that were written may be gone and are written again. */
    private RolloutOrderState readOrders(RolloutOrderState state, List<Effect> out) {
        Map<String, Long> known = state.read();
        Map<String, String> written = state.written();
        for (PlatformEvent.Entry entry : state.orders().items().values()) {
            if (known.get(entry.key()).exists(r -> r >= entry.revision())) {
                continue;
            }
            long before = known.get(entry.key()).getOrElse(entry.revision());
            if (Position.era(before) < Position.era(entry.revision())) {
                written = written.remove(entry.key().substring(RolloutOrderState.ORDERS_PREFIX.length()));
            }
            known = known.put(entry.key(), entry.revision());
            Either<String, RolloutOrder> order = codec.parseOrder(entry.value().orElse(""), entry.revision());
            if (order.isRight()) {
                out.add(new Effect.Raise(new RolloutEvent.Ordered(order.get())));
            }
            out.add(new Effect.Log(
                    order.isRight() ? EventCode.ROLLOUT_ORDERED : EventCode.ROLLOUT_ORDER_UNREADABLE,
                    entry.key() + " " + order.fold(e -> e, RolloutOrder::toString)));
        }
        return state.withRead(known).with(written, state.writing(), state.sequence());
    }

    private Step<RolloutOrderState> onStands(RolloutOrderState state, View view, Rollout rollout) {
        String service = rollout.service();
        boolean orderRead = state.read()
                .get(RolloutOrderState.ORDERS_PREFIX + service)
                .exists(r -> Position.revision(r) == Position.revision(rollout.number()));
        String text = codec.serializeStatus(rollout.newVersion(), statusOf(rollout));
        String numberedText = rollout.number() + " " + text;
        boolean alreadyWritten = state.written().get(service).exists(numberedText::equals);
        boolean writeInProgress = state.writing().get(service).exists(w -> view.nowMs() < w.untilMs());
        if (!orderRead || alreadyWritten || writeInProgress) {
            return Step.of(state);
        }
        String tag = WRITE_TAG_PREFIX + service + "/" + state.sequence();
        RolloutOrderState.PendingWrite writing =
                new RolloutOrderState.PendingWrite(tag, numberedText, view.nowMs() + WRITE_TIMEOUT_MS);
        RolloutOrderState next =
                state.with(state.written(), state.writing().put(service, writing), state.sequence() + 1);
        return Step.of(
                next,
                new PlatformEffect.Put(tag, RolloutOrderState.STATUS_PREFIX + service, text, OptionalLong.empty()));
    }

    private static RolloutOrderState onWritten(RolloutOrderState state, PlatformEvent event) {
        if (!(event instanceof PlatformEvent.Written done) || !done.tag().startsWith(WRITE_TAG_PREFIX)) {
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

    private static RolloutOrderCodec.RolloutStatus statusOf(Rollout rollout) {
        return switch (rollout.stage()) {
            case DONE -> RolloutOrderCodec.RolloutStatus.DONE;
            case TAKEN_BACK -> RolloutOrderCodec.RolloutStatus.TAKEN_BACK;
            default -> RolloutOrderCodec.RolloutStatus.RUNNING;
        };
    }
}
