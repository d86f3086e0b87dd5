package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.AttemptObserved;

import static java.util.Objects.requireNonNull;

/**
 * Reducer that collects evidence on new versions, condemns the bad ones and advances the good ones. Condemning a version
 * does not need the platform's service; advancing a rollout does.
 */
public final class RolloutReducer implements Reducer<RolloutState> {
    /** The key of the registry in the platform's service. */
    public static final String REGISTRY_KEY = "rollouts/book";

    /** Interval between ticks, in milliseconds. */
    private static final long TICK_MS = 500;

    private final VerdictRule rule;
    private final RolloutSchedule schedule;

    /** Creates a reducer with the sequential test. */
    public RolloutReducer() {
        this(new SequentialRule());
    }

    /**
     * Creates a reducer.
     *
     * @param rule the rule that judges new versions
     */
    public RolloutReducer(VerdictRule rule) {
        this(rule, RolloutSchedule.KEEP_OLD_VERSION);
    }

    /**
     * Creates a reducer.
     *
     * @param rule the rule that judges new versions
     * @param schedule the schedule of stage changes
     */
    public RolloutReducer(VerdictRule rule, RolloutSchedule schedule) {
        this.rule = requireNonNull(rule, "rule");
        this.schedule = requireNonNull(schedule, "schedule");
    }

    @Override
    public Step<RolloutState> reduce(RolloutState state, View view, Event event) {
        if (event instanceof AttemptObserved seen) {
            return onAttempt(state, view, seen);
        }
        if (event instanceof PeerReceived received && received.message() instanceof RolloutMessage) {
            return RolloutGossip.onMessage(state, view, received);
        }
        if (event instanceof PlatformEvent.Listed listed) {
            return Step.of(state.withServers(listed.backends()));
        }
        if (event instanceof PlatformEvent platform) {
            return RegistrySync.onPlatformEvent(state, view, platform);
        }
        if (event instanceof LifecycleEvent.Started) {
            return Step.of(state, nextTick(view));
        }
        if (event instanceof RolloutEvent.Tick) {
            return onTick(state, view);
        }
        if (event instanceof RolloutEvent.Ordered ordered) {
            return Step.of(state.withOrder(ordered.order()));
        }
        return Step.of(state);
    }

    private Step<RolloutState> onAttempt(RolloutState state, View view, AttemptObserved seen) {
        Backend backend = seen.backend();
        Rollout rollout = state.book().rollouts().get(backend.service()).getOrNull();
        if (rollout == null || rollout.stage().isTerminal()) {
            return Step.of(state);
        }
        Observations before =
                state.own().getOrElse(rollout.service(), Observations.start(rollout.number(), view.nowMs()));
        RolloutState next = state.withOwn(rollout.service(), before.withAttempt(seen, rollout.stage(), view.nowMs()));
        boolean judgeNow = seen.verdict() != AttemptObserved.Verdict.GOOD
                && backend.version().equals(rollout.newVersion());
        return judgeNow ? judge(next, view, rollout) : Step.of(next);
    }

    private Step<RolloutState> judge(RolloutState state, View view, Rollout rollout) {
        if (!state.isOpen(rollout)) {
            return Step.of(state);
        }
        VerdictRule.Judgement judgement = RolloutJudge.judge(rule, state, view.nowMs(), rollout);
        if (judgement.verdict() != VerdictRule.Verdict.BAD) {
            return Step.of(state);
        }
        ServiceVersion version = new ServiceVersion(rollout.service(), rollout.newVersion());
        Condemnation found = new Condemnation(version, rollout.number(), judgement.reason());
        return RolloutGossip.onCondemnations(state, view, List.of(found));
    }

    private Step<RolloutState> onTick(RolloutState state, View view) {
        List<Effect> out = new ArrayList<>();
        RolloutState next = state.withTick();
        for (Rollout rollout : next.book().rollouts().values()) {
            Step<RolloutState> step = judge(next, view, rollout);
            next = step.state();
            out.addAll(step.effects());
        }
        out.addAll(RolloutGossip.createReports(next, view));
        Step<RolloutState> kept =
                RegistrySync.onTick(schedule, next, view, r -> RolloutJudge.judge(rule, state, view.nowMs(), r));
        out.addAll(kept.effects());
        out.add(nextTick(view));
        return new Step<>(kept.state(), out);
    }

    private static Effect nextTick(View view) {
        return new Effect.Schedule(view.nowMs() + TICK_MS, new RolloutEvent.Tick());
    }

    static Effect log(EventCode code, String detail) {
        return new Effect.Log(code, detail);
    }
}
