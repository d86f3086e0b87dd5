package org.fuchsiadeck.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.membership.Member.Status;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.SplitMix64;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Decides which entry nodes are alive, in the manner of the SWIM protocol: probes them in turn, suspects those that do
 * not answer, and gossips changes by updates on its messages.
 */
public final class MembershipReducer implements Reducer<MembershipState> {
    /** Number of nodes joining at once up to which each one gets its own log event. */
    private static final int MAX_SEPARATE_JOIN_LOGS = 3;

    private final boolean trustsList;

    /** Creates a reducer that uses the platform's list only as addresses at which nodes may be. */
    public MembershipReducer() {
        this(false);
    }

    /**
     * Creates a reducer.
     *
     * @param trustsList whether a node's entry in the platform's list is removed soon after the node ends, so that
     *     listed nodes are considered alive before they have sent a message
     */
    public MembershipReducer(boolean trustsList) {
        this.trustsList = trustsList;
    }

    @Override
    public Step<MembershipState> reduce(MembershipState state, View view, Event event) {
        Step<MembershipState> step = dispatch(state, view, event);
        if (step.state().table().entries() == state.table().entries()) {
            return step;
        }
        List<Effect> out = new ArrayList<>(step.effects());
        reportChanges(state.table(), step.state().table(), out);
        return new Step<>(step.state(), out);
    }

    private Step<MembershipState> dispatch(MembershipState state, View view, Event event) {
        if (event instanceof PeerReceived received && received.message() instanceof MembershipMessage message) {
            return new MessageHandler(view).onMessage(state, message);
        }
        if (event instanceof MembershipEvent.Ticked ticked) {
            return new ProbeRounds(view).onTick(state, ticked.dueMs());
        }
        if (event instanceof MembershipEvent.ProbeLate late) {
            return new ProbeRounds(view).onProbeLate(state, late.sequence());
        }
        if (event instanceof MembershipEvent.Seeded seeded) {
            return Step.of(state.withSeeds(seeded.seeds()));
        }
        if (event instanceof PlatformEvent.Listed listed) {
            MembershipState next = state.withListed(
                    listed.nodes().stream().map(Peers.Peer::address).toList());
            return trustsList
                    ? new ProbeRounds(view).onRegistered(next, listed.nodes())
                    : new ProbeRounds(view).onListed(next, state.listed());
        }
        if (event instanceof LifecycleEvent.Started) {
            MembershipState seeded = state.with(new SplitMix64(view.self().seed()));
            return Step.of(seeded, new Effect.Schedule(view.nowMs(), new MembershipEvent.Ticked(view.nowMs())));
        }
        if (event instanceof LifecycleEvent.StopRequested) {
            return new ProbeRounds(view).onStopRequested(state);
        }
        return Step.of(state);
    }

    private static void reportChanges(MemberTable before, MemberTable after, List<Effect> out) {
        boolean changed = false;
        List<Member> joined = new ArrayList<>();
        for (MemberTable.Entry entry : after.entries().values()) {
            Member member = entry.member();
            Status previous = before.entries()
                    .get(member.id())
                    .map(e -> e.member().status())
                    .getOrNull();
            if (previous == member.status()) {
                continue;
            }
            changed = true;
            if (member.status() != Status.ALIVE) {
                logStatus(previous, member, out);
            } else if (previous != Status.SUSPECT) {
                joined.add(member);
            }
        }
        logJoined(joined, after.entries().size(), out);
        if (changed || before.entries().size() != after.entries().size()) {
            out.add(new Effect.Raise(new MembershipEvent.Changed(after.peers(), after.leavingPeers())));
        }
    }

    private static void logStatus(Status previous, Member member, List<Effect> out) {
        if (previous != null || member.isServing()) {
            out.add(new Effect.Log(eventCode(member.status()), member.id() + " at " + member.address()));
        }
    }

    private static void logJoined(List<Member> joined, int known, List<Effect> out) {
        if (joined.size() > MAX_SEPARATE_JOIN_LOGS) {
            Map<String, Object> fields = Map.of("joined", joined.size(), "known", known);
            out.add(new Effect.Log(EventCode.MEMBERS_JOINED, "", fields));
            return;
        }
        joined.forEach(m -> out.add(new Effect.Log(EventCode.MEMBER_JOINED, m.id() + " at " + m.address())));
    }

    private static EventCode eventCode(Status status) {
        return switch (status) {
            case ALIVE -> EventCode.MEMBER_JOINED;
            case SUSPECT -> EventCode.MEMBER_SUSPECTED;
            case LEAVING -> EventCode.MEMBER_LEAVING;
            case DEAD -> EventCode.MEMBER_DEAD;
        };
    }
}
