package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import io.vavr.control.Option;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.desk.RolloutOrderEvent;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;

/**
 * Synchronises the rollout registry with the platform's service: reads and watches it, and writes condemned versions and
 * stage changes by compare-and-swap. When the result of a write is unknown, the registry is read again.
 */
final class RegistrySync {
    /** The key of the registry in the platform's service. */
    static final String KEY = RolloutReducer.REGISTRY_KEY;

    private static final String READ_TAG_PREFIX = "rollout/read/";
    private static final String WRITE_TAG_PREFIX = "rollout/write/";
    /** Longest time that one watch stays open, in milliseconds. */
    private static final long WATCH_TIMEOUT_MS = 20_000;

    private RegistrySync() {}

    static Step<RolloutState> onPlatformEvent(RolloutState state, View view, PlatformEvent event) {
        if (event instanceof PlatformEvent.Found found && found.tag().startsWith(READ_TAG_PREFIX)) {
            return onFound(state, view, found);
        }
        if (event instanceof PlatformEvent.Watched watched && watched.tag().startsWith(READ_TAG_PREFIX)) {
            return onWatched(state, view, watched);
        }
        if (event instanceof PlatformEvent.Written written && written.tag().startsWith(WRITE_TAG_PREFIX)) {
            return readAgain(state.withSync(state.sync().withAnswer(true)));
        }
        if (event instanceof PlatformEvent.Conflicted conflicted
                && conflicted.tag().startsWith(WRITE_TAG_PREFIX)) {
            return readAgain(state.withSync(state.sync().withAnswer(true)));
        }
        if (event instanceof PlatformEvent.CallFailed failed && failed.tag().startsWith("rollout/")) {
            boolean write = failed.tag().startsWith(WRITE_TAG_PREFIX);
            return Step.of(state.withSync(
                    state.sync().withFailure(write, view.nowMs(), view.self().seed())));
        }
        return Step.of(state);
    }

    static Step<RolloutState> onRegistry(RolloutState state, View view, long revision, String text) {
        RolloutState next = state.withKnown();
        if (revision <= state.revision()) {
            return Step.of(next);
        }
        try {
            return withRegistry(next, view, revision, RegistryFormat.parse(text));
        } catch (IllegalArgumentException e) {
            return Step.of(state, RolloutReducer.log(EventCode.CONFIG_REJECTED, KEY + ": " + e.getMessage()));
        }
    }

    static Step<RolloutState> onTick(
            RolloutSchedule schedule, RolloutState state, View view, Function<Rollout, Judgement> judge) {
        List<Effect> effects = new ArrayList<>();
        RolloutState next = state;
        boolean mayCall = next.sync().mayCall(view.nowMs());
        if (mayCall && !next.sync().reading()) {
            PlatformCallState sync = next.sync().withReadStarted();
            effects.add(readEffect(next, sync));
            next = next.withSync(sync);
        }
        boolean known = next.revision() > 0 || next.known() && !next.orders().isEmpty();
        if (mayCall && !next.sync().writing() && known) {
            Optional<RolloutRegistry> registry = registryToWrite(schedule, next, view, judge);
            if (registry.isPresent()) {
                PlatformCallState sync = next.sync().withWriteStarted();
                String tag = WRITE_TAG_PREFIX + sync.calls();
                String text = RegistryFormat.serialize(registry.get());
                effects.add(new PlatformEffect.Put(tag, KEY, text, OptionalLong.of(next.revision())));
                next = next.withSync(sync);
            }
        }
        for (Rollout rollout : next.saved().rollouts().values()) {
            boolean ordered = next.orders().containsKey(rollout.service());
            if (ordered && isWriter(view, rollout.service())) {
                effects.add(new Effect.Raise(new RolloutOrderEvent.Stands(rollout)));
            }
        }
        return new Step<>(next, effects);
    }

    private static Effect readEffect(RolloutState state, PlatformCallState sync) {
        String tag = READ_TAG_PREFIX + sync.calls();
        return sync.watchAfter() == 0
                ? new PlatformEffect.Get(tag, KEY)
                : new PlatformEffect.Watch(tag, KEY, sync.watchAfter(), WATCH_TIMEOUT_MS);
    }

    private static Step<RolloutState> readAgain(RolloutState state) {
        PlatformCallState sync = state.sync().withReadStarted();
        return Step.of(state.withSync(sync), new PlatformEffect.Get(READ_TAG_PREFIX + sync.calls(), KEY));
    }

    private static Step<RolloutState> onFound(RolloutState state, View view, PlatformEvent.Found found) {
        PlatformCallState sync = state.sync().withAnswer(false).withWatchAfter(found.serviceRevision());
        RolloutState next = state.withSync(sync).withKnown();
        if (found.entry().isEmpty() || found.entry().get().value().isEmpty()) {
            return Step.of(next);
        }
        PlatformEvent.Entry entry = found.entry().get();
        return onRegistry(next, view, entry.revision(), entry.value().get());
    }

    private static Step<RolloutState> onWatched(RolloutState state, View view, PlatformEvent.Watched watched) {
        PlatformCallState sync = state.sync().withAnswer(false).withWatchAfter(watched.serviceRevision());
        RolloutState next = state.withSync(sync);
        if (watched.gap()) {
            return readAgain(next);
        }
        List<Effect> effects = new ArrayList<>();
        for (PlatformEvent.Entry entry : watched.entries()) {
            if (entry.key().equals(KEY) && entry.value().isPresent()) {
                Step<RolloutState> step =
                        onRegistry(next, view, entry.revision(), entry.value().get());
                next = step.state();
                effects.addAll(step.effects());
            }
        }
        return new Step<>(next, effects);
    }

    private static Step<RolloutState> withRegistry(
            RolloutState state, View view, long revision, RolloutRegistry registry) {
        List<Effect> effects = new ArrayList<>();
        for (Rollout rollout : registry.rollouts().values()) {
            RolloutStage previousStage = state.saved()
                    .rollouts()
                    .get(rollout.service())
                    .filter(r -> r.number() == rollout.number())
                    .map(Rollout::stage)
                    .getOrNull();
            if (previousStage != rollout.stage()) {
                EventCode code = rollout.stage().isTerminal() ? EventCode.ROLLOUT_ENDED : EventCode.ROLLOUT_MOVED;
                effects.add(
                        RolloutReducer.log(code, rollout.service() + " " + rollout.number() + " " + rollout.stage()));
            }
        }
        List<Condemnation> condemnations = registry.condemned().values().toJavaList();
        Step<RolloutState> condemned = RolloutGossip.onCondemnations(state, view, condemnations);
        effects.addAll(condemned.effects());
        return new Step<>(condemned.state().withSaved(registry, revision), effects);
    }

    /** Returns the saved registry with this node's changes to the services that it writes, or empty if there are none. */
    private static Optional<RolloutRegistry> registryToWrite(
            RolloutSchedule schedule, RolloutState state, View view, Function<Rollout, Judgement> judge) {
        RolloutRegistry registry = state.saved();
        for (Condemnation condemnation : state.book().condemned().values()) {
            registry = isWriter(view, condemnation.version().service()) ? registry.with(condemnation) : registry;
        }
        for (Rollout rollout : state.book().rollouts().values()) {
            if (isWriter(view, rollout.service())) {
                Optional<Rollout> moved = StageTransitions.nextStage(schedule, state, view, rollout, judge);
                registry = moved.isPresent() ? registry.with(moved.get()) : registry;
            }
        }
        for (RolloutOrder order : state.orders().values()) {
            Option<Rollout> created =
                    isWriter(view, order.service()) ? state.createOrderedRollout(order, view) : Option.none();
            registry = created.isDefined() ? registry.with(created.get()) : registry;
        }
        return registry.equals(state.saved()) ? Optional.empty() : Optional.of(registry);
    }

    /** Returns whether this node writes a service's registry entries, which the first aggregator of its evidence does. */
    private static boolean isWriter(View view, String service) {
        return RolloutGossip.aggregators(view, service)
                .get(0)
                .equals(view.self().id());
    }
}
