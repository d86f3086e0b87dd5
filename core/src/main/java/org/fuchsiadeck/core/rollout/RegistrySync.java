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
import org.fuchsiadeck.core.desk.DeskEvent;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.rollout.VerdictRule.Judgement;

/**
 * Keeps the book in the platform's service: reads and watches it, writes condemned versions and steps forward by
 * compare-and-swap. A write whose answer is lost is settled by reading the book again.
 */
final class RegistrySync {
    /** The key of the book in the platform's service. */
    static final String KEY = RolloutReducer.REGISTRY_KEY;

    private static final String READ = "rollout/read/";
    private static final String WRITE = "rollout/write/";
    private static final long WATCH_MS = 20_000;

    private RegistrySync() {}

    static Step<RolloutState> onPlatformEvent(RolloutState state, View view, PlatformEvent event) {
        if (event instanceof PlatformEvent.Found found && found.tag().startsWith(READ)) {
            return read(state, view, found);
        }
        if (event instanceof PlatformEvent.Watched watched && watched.tag().startsWith(READ)) {
            return watched(state, view, watched);
        }
        if (event instanceof PlatformEvent.Written written && written.tag().startsWith(WRITE)) {
            return reread(state.withSync(state.sync().withAnswer(true)));
        }
        if (event instanceof PlatformEvent.Conflicted lost && lost.tag().startsWith(WRITE)) {
            return reread(state.withSync(state.sync().withAnswer(true)));
        }
        if (event instanceof PlatformEvent.CallFailed failed && failed.tag().startsWith("rollout/")) {
            boolean write = failed.tag().startsWith(WRITE);
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
            return accepted(next, view, revision, RegistryFormat.parse(text));
        } catch (IllegalArgumentException e) {
            return Step.of(state, RolloutReducer.log(EventCode.CONFIG_REJECTED, KEY + ": " + e.getMessage()));
        }
    }

    static Step<RolloutState> onTick(
            RolloutSchedule pace, RolloutState state, View view, Function<Rollout, Judgement> judge) {
        List<Effect> out = new ArrayList<>();
        RolloutState next = state;
        boolean mayCall = next.sync().mayCall(view.nowMs());
        if (mayCall && !next.sync().reading()) {
            PlatformCallState sync = next.sync().withReadStarted();
            out.add(watch(next, sync));
            next = next.withSync(sync);
        }
        boolean known = next.revision() > 0 || next.known() && !next.orders().isEmpty();
        if (mayCall && !next.sync().writing() && known) {
            Optional<RolloutRegistry> wanted = wanted(pace, next, view, judge);
            if (wanted.isPresent()) {
                PlatformCallState sync = next.sync().withWriteStarted();
                String tag = WRITE + sync.calls();
                String text = RegistryFormat.serialize(wanted.get());
                out.add(new PlatformEffect.Put(tag, KEY, text, OptionalLong.of(next.revision())));
                next = next.withSync(sync);
            }
        }
        for (Rollout rollout : next.saved().rollouts().values()) {
            boolean ordered = next.orders().containsKey(rollout.service());
            if (ordered && mine(view, rollout.service())) {
                out.add(new Effect.Raise(new DeskEvent.Stands(rollout)));
            }
        }
        return new Step<>(next, out);
    }

    private static Effect watch(RolloutState state, PlatformCallState sync) {
        String tag = READ + sync.calls();
        return sync.watchAfter() == 0
                ? new PlatformEffect.Get(tag, KEY)
                : new PlatformEffect.Watch(tag, KEY, sync.watchAfter(), WATCH_MS);
    }

    private static Step<RolloutState> reread(RolloutState state) {
        PlatformCallState sync = state.sync().withReadStarted();
        return Step.of(state.withSync(sync), new PlatformEffect.Get(READ + sync.calls(), KEY));
    }

    private static Step<RolloutState> read(RolloutState state, View view, PlatformEvent.Found found) {
        PlatformCallState sync = state.sync().withAnswer(false).withWatchAfter(found.serviceRevision());
        RolloutState next = state.withSync(sync).withKnown();
        if (found.entry().isEmpty() || found.entry().get().value().isEmpty()) {
            return Step.of(next);
        }
        PlatformEvent.Entry entry = found.entry().get();
        return onRegistry(next, view, entry.revision(), entry.value().get());
    }

    private static Step<RolloutState> watched(RolloutState state, View view, PlatformEvent.Watched watched) {
        PlatformCallState sync = state.sync().withAnswer(false).withWatchAfter(watched.serviceRevision());
        RolloutState next = state.withSync(sync);
        if (watched.gap()) {
            return reread(next);
        }
        List<Effect> out = new ArrayList<>();
        for (PlatformEvent.Entry entry : watched.entries()) {
            if (entry.key().equals(KEY) && entry.value().isPresent()) {
                Step<RolloutState> step =
                        onRegistry(next, view, entry.revision(), entry.value().get());
                next = step.state();
                out.addAll(step.effects());
            }
        }
        return new Step<>(next, out);
    }

    private static Step<RolloutState> accepted(RolloutState state, View view, long revision, RolloutRegistry book) {
        List<Effect> out = new ArrayList<>();
        for (Rollout rollout : book.rollouts().values()) {
            RolloutStage before = state.saved()
                    .rollouts()
                    .get(rollout.service())
                    .filter(r -> r.number() == rollout.number())
                    .map(Rollout::stage)
                    .getOrNull();
            if (before != rollout.stage()) {
                EventCode code = rollout.stage().isTerminal() ? EventCode.ROLLOUT_ENDED : EventCode.ROLLOUT_MOVED;
                out.add(RolloutReducer.log(code, rollout.service() + " " + rollout.number() + " " + rollout.stage()));
            }
        }
        List<Condemnation> found = book.condemned().values().toJavaList();
        Step<RolloutState> told = RolloutGossip.onCondemnations(state, view, found);
        out.addAll(told.effects());
        return new Step<>(told.state().withSaved(book, revision), out);
    }

    /** Returns the saved book with this node's changes: those of the services that it aggregates first. */
    private static Optional<RolloutRegistry> wanted(
            RolloutSchedule pace, RolloutState state, View view, Function<Rollout, Judgement> judge) {
        RolloutRegistry book = state.saved();
        for (Condemnation found : state.book().condemned().values()) {
            book = mine(view, found.version().service()) ? book.with(found) : book;
        }
        for (Rollout rollout : state.book().rollouts().values()) {
            if (mine(view, rollout.service())) {
                Optional<Rollout> moved = StageTransitions.nextStage(pace, state, view, rollout, judge);
                book = moved.isPresent() ? book.with(moved.get()) : book;
            }
        }
        for (RolloutOrder order : state.orders().values()) {
            Option<Rollout> fresh =
                    mine(view, order.service()) ? state.createOrderedRollout(order, view) : Option.none();
            book = fresh.isDefined() ? book.with(fresh.get()) : book;
        }
        return book.equals(state.saved()) ? Optional.empty() : Optional.of(book);
    }

    /** Tells whether this node writes what becomes of a service. It is one that the others' evidence reaches. */
    private static boolean mine(View view, String service) {
        return RolloutGossip.aggregators(view, service)
                .get(0)
                .equals(view.self().id());
    }
}
