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
 * Collects evidence on the new versions of services, condemns versions that are worse than the old ones and advances the
 * rollouts of the others. Condemning a version does not need the platform's service; advancing a rollout does.
 */
public final class RolloutReducer implements Reducer<RolloutState> {
    /** Key of the registry in the platform's service. */
    public static final String REGISTRY_KEY = "rollouts/book";

    /** Interval between ticks, in milliseconds. */
    private static final long TICK_MS = 500;

    private final VerdictRule rule;
    private final RolloutSchedule schedule;

    /** Creates a reducer that judges new versions by {@link SequentialRule}. */
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
        if (event instanceof AttemptObserved attempt) {
            return onAttempt(state, view, attempt);
        }
        if (event instanceof PeerReceived received && received.message() instanceof RolloutMessage) {
            return RolloutGossip.onMessage(state, view, received);
        }
        if (event instanceof PlatformEvent.Listed listed) {
            return Step.of(state.withServers(listed.backends()));
        }
        if (event instanceof PlatformEvent platformEvent) {
            return RegistrySync.onPlatformEvent(state, view, platformEvent);
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

    private Step<RolloutState> onAttempt(RolloutState state, View view, AttemptObserved attempt) {
        Backend backend = attempt.backend();
        Rollout rollout = state.book().rollouts().get(backend.service()).getOrNull();
        if (rollout == null || rollout.stage().isTerminal()) {
            return Step.of(state);
        }
        Observations observations =
                state.own().getOrElse(rollout.service(), Observations.start(rollout.number(), view.nowMs()));
        RolloutState next =
                state.withOwn(rollout.service(), observations.withAttempt(attempt, rollout.stage(), view.nowMs()));
        boolean judgeNow = attempt.verdict() != AttemptObserved.Verdict.GOOD
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
        Condemnation condemnation = new Condemnation(version, rollout.number(), judgement.reason());
        return RolloutGossip.onCondemnations(state, view, List.of(condemnation));
    }

    private Step<RolloutState> onTick(RolloutState state, View view) {
        List<Effect> effects = new ArrayList<>();
        RolloutState next = state.withTick();
        for (Rollout rollout : next.book().rollouts().values()) {
            Step<RolloutState> step = judge(next, view, rollout);
            next = step.state();
            effects.addAll(step.effects());
        }
        effects.addAll(RolloutGossip.createReports(next, view));
        Step<RolloutState> synced =
                RegistrySync.onTick(schedule, next, view, r -> RolloutJudge.judge(rule, state, view.nowMs(), r));
        effects.addAll(synced.effects());
        effects.add(nextTick(view));
        return new Step<>(synced.state(), effects);
    }

    private static Effect nextTick(View view) {
        return new Effect.Schedule(view.nowMs() + TICK_MS, new RolloutEvent.Tick());
    }

    static Effect log(EventCode code, String detail) {
        return new Effect.Log(code, detail);
    }
}
