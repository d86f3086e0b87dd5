package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.NodeReducer;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.claim.ClaimMessage;
import org.fuchsiadeck.core.claim.RosterChain;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.membership.MembershipMessage;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * The decisions of one node in virtual time, fed with events as a daemon would. Effects are returned and not run.
 */
final class ModelNode {
    static final int SELF = 0;

    private static final long WALL_MS = 1_796_000_000_000L;
    private static final long ROSTER_REVISION = 7;

    private final NodeReducer reducer = new NodeReducer();
    private NodeState state;
    private long nowMs = 1_000;

    /** Makes a node that knows so many others, with a small configuration in force. */
    ModelNode(int others) {
        Identity self = new Identity(Samples.node(SELF), Samples.zone(SELF), Samples.address(SELF), 42);
        state = NodeState.initial(self);
        take(new LifecycleEvent.Started());
        List<MembershipMessage.Update> updates = IntStream.rangeClosed(1, others)
                .mapToObj(i -> new MembershipMessage.Update(Samples.member(i, 0, Member.Status.ALIVE), 0))
                .toList();
        if (others > 0) {
            receive(1, new MembershipMessage.Sync(false, Samples.member(1, 0, Member.Status.ALIVE), updates));
        }
        configure(Samples.configuration(1, 4, 5, 0));
    }

    NodeState state() {
        return state;
    }

    long nowMs() {
        return nowMs;
    }

    ModelNode configure(Configuration configuration) {
        take(new ConfigEvent.Parsed(configuration, "", "capacity"));
        return this;
    }

    ModelNode list(int backends) {
        take(new PlatformEvent.Listed(Samples.backends(backends, "v1"), List.of()));
        return this;
    }

    /** Puts a roster of nodes 1 to {@code members} in force, all of which answered just now. */
    ModelNode roster(int members) {
        receive(1, new ClaimMessage.RosterNews(RosterChain.parse(ROSTER_REVISION, Samples.rosterText(1, members))));
        for (int i = 1; i <= members; i++) {
            agree(i);
        }
        return this;
    }

    /** Puts a roster in force of which this node is a member too. */
    ModelNode ownRoster(int members) {
        receive(
                1,
                new ClaimMessage.RosterNews(RosterChain.parse(ROSTER_REVISION, Samples.rosterText(SELF, members - 1))));
        for (int i = 1; i < members; i++) {
            agree(i);
        }
        return this;
    }

    private void agree(int member) {
        receive(member, new ClaimMessage.Digest(true, nowMs, ROSTER_REVISION, 0, List.of()));
    }

    static long rosterRevision() {
        return ROSTER_REVISION;
    }

    void advance(long ms) {
        nowMs += ms;
    }

    List<Effect> take(Event event) {
        Step<NodeState> step = reducer.reduce(state, nowMs, WALL_MS + nowMs, event);
        state = step.state();
        return step.effects();
    }

    List<Effect> receive(int from, PeerMessage message) {
        return take(new PeerReceived(Samples.node(from), message));
    }

    List<Effect> receive(NodeId from, PeerMessage message) {
        return take(new PeerReceived(from, message));
    }

    static <E> List<E> of(List<Effect> effects, Class<E> type) {
        List<E> out = new ArrayList<>();
        effects.stream().filter(type::isInstance).map(type::cast).forEach(out::add);
        return out;
    }
}
