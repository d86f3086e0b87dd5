package org.fuchsiadeck.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.fuchsiadeck.core.claim.ClaimReducer;
import org.fuchsiadeck.core.claim.ClaimState;
import org.fuchsiadeck.core.config.ConfigReducer;
import org.fuchsiadeck.core.config.ConfigState;
import org.fuchsiadeck.core.desk.DeskReducer;
import org.fuchsiadeck.core.desk.DeskState;
import org.fuchsiadeck.core.desk.OrderForm;
import org.fuchsiadeck.core.directory.DirectoryReducer;
import org.fuchsiadeck.core.directory.DirectoryState;
import org.fuchsiadeck.core.directory.ServerDecoder;
import org.fuchsiadeck.core.duty.DutyReducer;
import org.fuchsiadeck.core.duty.DutyState;
import org.fuchsiadeck.core.membership.MembershipReducer;
import org.fuchsiadeck.core.membership.MembershipState;
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
 * The root of the decisions: hands each event to every concern, and the events they raise after it.
 */
public final class NodeReducer {
    /** Rollouts on the platform take seconds, in which the early share gives few answers on each route. */
    private static final long MIN_ON_ROUTE = 3;

    private final Reducer<ConfigState> config = new ConfigReducer();
    private final Reducer<MembershipState> members;
    private final Reducer<RolloutState> rollouts;
    private final Reducer<ClaimState> claims;
    private final Reducer<RequestState> requests;
    private final Reducer<DirectoryState> directory;
    private final Reducer<ShareState> use;
    private final Reducer<DutyState> duties;
    private final Reducer<DeskState> desk;

    /** Makes a reducer with the router in normal use. */
    public NodeReducer() {
        this(Router.betterOfTwo());
    }

    /**
     * Makes a reducer with another router, to measure against.
     *
     * @param router chooses the backend servers
     */
    public NodeReducer(Router router) {
        this(router, new ClaimReducer(), new RolloutReducer(), Platform.NONE);
    }

    private NodeReducer(Router router, Reducer<ClaimState> claims, Reducer<RolloutState> rollouts, Platform platform) {
        this.members = new MembershipReducer(platform != Platform.NONE);
        this.rollouts = rollouts;
        this.requests = new RequestReducer(router);
        this.claims = claims;
        this.directory = platform.directory();
        this.use = platform.use();
        this.duties = platform.duties();
        this.desk = platform.desk();
    }

    /** The concerns of nodes that meet through the platform's key-value service. */
    private record Platform(
            Reducer<DirectoryState> directory,
            Reducer<ShareState> use,
            Reducer<DutyState> duties,
            Reducer<DeskState> desk) {
        static final Platform NONE = new Platform(
                (s, v, e) -> Step.of(s), (s, v, e) -> Step.of(s), (s, v, e) -> Step.of(s), (s, v, e) -> Step.of(s));
    }

    /**
     * Makes a reducer for nodes that read their servers and each other from the platform's service, and whose callers
     * give every request an id of its own, so that idempotency keys need no owners.
     *
     * @param router chooses the backend servers
     * @param decoder reads the servers' entries
     * @param form how orders of rollouts are written down
     * @return the reducer
     */
    public static NodeReducer registered(Router router, ServerDecoder decoder, OrderForm form) {
        Platform platform = new Platform(
                new DirectoryReducer(decoder), new ShareReducer(), new DutyReducer(), new DeskReducer(form));
        Reducer<RolloutState> rollouts =
                new RolloutReducer(new SequentialRule(MIN_ON_ROUTE), RolloutSchedule.DONE_BY_DUE);
        return new NodeReducer(router, (s, v, e) -> Step.of(s), rollouts, platform);
    }

    /**
     * Reduces one event and all events it raises.
     *
     * @param state the state before the event
     * @param nowMs the monotonic time, in milliseconds; must not go back
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
        NodeState s = state;
        s = s.with(run(config, s.config(), s.view(nowMs, wallMs), event, out));
        s = s.with(run(directory, s.directory(), s.view(nowMs, wallMs), event, out));
        s = s.with(run(members, s.members(), s.view(nowMs, wallMs), event, out));
        s = s.with(run(use, s.use(), s.view(nowMs, wallMs), event, out));
        s = s.with(run(rollouts, s.rollouts(), s.view(nowMs, wallMs), event, out));
        View view = s.view(nowMs, wallMs);
        s = s.with(run(claims, s.claims(), view, event, out));
        s = s.with(run(requests, s.requests(), view, event, out));
        s = s.with(run(duties, s.duties(), view, event, out));
        s = s.with(run(desk, s.desk(), view, event, out));
        return new Step<>(s, out);
    }

    private static <S> S run(Reducer<S> reducer, S state, View view, Event event, List<Effect> out) {
        Step<S> step = reducer.reduce(state, view, event);
        out.addAll(step.effects());
        return step.state();
    }
}
