package org.fuchsiadeck.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.fuchsiadeck.core.claim.ClaimReducer;
import org.fuchsiadeck.core.claim.ClaimState;
import org.fuchsiadeck.core.config.ConfigReducer;
import org.fuchsiadeck.core.config.ConfigState;
import org.fuchsiadeck.core.desk.RolloutOrderCodec;
import org.fuchsiadeck.core.desk.RolloutOrderReducer;
import org.fuchsiadeck.core.desk.RolloutOrderState;
import org.fuchsiadeck.core.directory.BackendDecoder;
import org.fuchsiadeck.core.directory.DirectoryReducer;
import org.fuchsiadeck.core.directory.DirectoryState;
import org.fuchsiadeck.core.duty.DutyReducer;
import org.fuchsiadeck.core.duty.DutyState;
import org.fuchsiadeck.core.membership.MembershipReducer;
import org.fuchsiadeck.core.membership.MembershipState;
import org.fuchsiadeck.core.quarantine.QuarantineReducer;
import org.fuchsiadeck.core.quarantine.QuarantineState;
import org.fuchsiadeck.core.request.RequestReducer;
import org.fuchsiadeck.core.request.RequestState;
import org.fuchsiadeck.core.rollout.RolloutReducer;
import org.fuchsiadeck.core.rollout.RolloutSchedule;
import org.fuchsiadeck.core.rollout.RolloutState;
import org.fuchsiadeck.core.rollout.SequentialRule;
import org.fuchsiadeck.core.routing.Router;
import org.fuchsiadeck.core.share.ShareReducer;
import org.fuchsiadeck.core.share.ShareState;

/**
 * The root reducer of an entry node: passes each event, and then the events raised by it, to the reducers of all parts
 * of the state.
 */
public final class NodeReducer {
    /**
     * Answers of the new version that each route needs at each stage before the version can be found good. Rollouts on
     * the platform take seconds, during which the small early share gives few answers on each route.
     */
    private static final long MIN_ANSWERS_PER_ROUTE = 3;

    private final Reducer<ConfigState> config = new ConfigReducer();
    private final Reducer<MembershipState> members;
    private final Reducer<RolloutState> rollouts;
    private final Reducer<ClaimState> claims;
    private final Reducer<QuarantineState> quarantine = new QuarantineReducer();
    private final Reducer<RequestState> requests;
    private final Reducer<DirectoryState> directory;
    private final Reducer<ShareState> usage;
    private final Reducer<DutyState> duties;
    private final Reducer<RolloutOrderState> desk;

    /** Creates a reducer with the default router. */
    public NodeReducer() {
        this(Router.betterOfTwo());
    }

    /**
     * Creates a reducer with the given router, for comparisons between routers.
     *
     * @param router the router that selects backend servers
     */
    public NodeReducer(Router router) {
        this(router, new ClaimReducer(), new RolloutReducer(), PlatformReducers.NONE);
    }

    private NodeReducer(
            Router router, Reducer<ClaimState> claims, Reducer<RolloutState> rollouts, PlatformReducers platform) {
        this.members = new MembershipReducer(platform != PlatformReducers.NONE);
        this.rollouts = rollouts;
        this.requests = new RequestReducer(router);
        this.claims = claims;
        this.directory = platform.directory();
        this.usage = platform.usage();
        this.duties = platform.duties();
        this.desk = platform.desk();
    }

    /** The reducers that only nodes using the platform's key-value service have. */
    private record PlatformReducers(
            Reducer<DirectoryState> directory,
            Reducer<ShareState> usage,
            Reducer<DutyState> duties,
            Reducer<RolloutOrderState> desk) {
        static final PlatformReducers NONE = new PlatformReducers(
                (s, v, e) -> Step.of(s), (s, v, e) -> Step.of(s), (s, v, e) -> Step.of(s), (s, v, e) -> Step.of(s));
    }

    /**
     * Creates a reducer for nodes on the platform. They read backend servers and peers from the platform's key-value
     * service. Their callers give every request an id of its own, so that idempotency keys need no owners.
     *
     * @param router the router that selects backend servers
     * @param decoder decodes the entries of backend servers
     * @param form parses rollout orders and serializes their status
     * @return the reducer
     */
    public static NodeReducer forPlatform(Router router, BackendDecoder decoder, RolloutOrderCodec form) {
        PlatformReducers platform = new PlatformReducers(
                new DirectoryReducer(decoder), new ShareReducer(), new DutyReducer(), new RolloutOrderReducer(form));
        Reducer<RolloutState> rollouts =
                new RolloutReducer(new SequentialRule(MIN_ANSWERS_PER_ROUTE), RolloutSchedule.DONE_BY_DUE);
        return new NodeReducer(router, (s, v, e) -> Step.of(s), rollouts, platform);
    }

    /**
     * Reduces one event and all events it raises.
     *
     * @param state the state before the event
     * @param nowMs the monotonic time, in milliseconds; must not decrease
     * @param wallMs the wall-clock time, in milliseconds since 1970
     * @param event what happened
     * @return the next state, and the effects for the node to run, in order
     */
    public Step<NodeState> reduce(NodeState state, long nowMs, long wallMs, Event event) {
        Queue<Event> events = new ArrayDeque<>();
        events.add(event);
        List<Effect> out = new ArrayList<>();
        NodeState next = state;
        while (!events.isEmpty()) {
            Step<NodeState> step = reduceOne(next, nowMs, wallMs, events.remove());
            next = step.state();
            for (Effect effect : step.effects()) {
                if (effect instanceof Effect.Raise raise) {
                    events.add(raise.event());
                } else {
                    out.add(effect);
                }
            }
        }
        return new Step<>(next, out);
    }

    private Step<NodeState> reduceOne(NodeState state, long nowMs, long wallMs, Event event) {
        List<Effect> out = new ArrayList<>();
        NodeState next = state;
        next = next.with(run(config, next.config(), next.view(nowMs, wallMs), event, out));
        next = next.with(run(directory, next.directory(), next.view(nowMs, wallMs), event, out));
        next = next.with(run(members, next.members(), next.view(nowMs, wallMs), event, out));
        next = next.with(run(usage, next.use(), next.view(nowMs, wallMs), event, out));
        next = next.with(run(rollouts, next.rollouts(), next.view(nowMs, wallMs), event, out));
        next = next.with(run(quarantine, next.quarantine(), next.view(nowMs, wallMs), event, out));
        View view = next.view(nowMs, wallMs);
        next = next.with(run(claims, next.claims(), view, event, out));
        next = next.with(run(requests, next.requests(), view, event, out));
        next = next.with(run(duties, next.duties(), view, event, out));
        next = next.with(run(desk, next.desk(), view, event, out));
        return new Step<>(next, out);
    }

    private static <S> S run(Reducer<S> reducer, S state, View view, Event event, List<Effect> out) {
        Step<S> step = reducer.reduce(state, view, event);
        out.addAll(step.effects());
        return step.state();
    }
}
