package org.fuchsiadeck.core.claim;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.NodeId;

/**
 * The working data of one call of the claim reducer: the view, the current state and the effects collected so far.
 */
final class ClaimContext {
    final View view;
    final NodeId self;
    final long nowMs;
    ClaimState state;

    private final List<Effect> effects = new ArrayList<>();

    ClaimContext(ClaimState state, View view) {
        this.state = state;
        this.view = view;
        this.self = view.self().id();
        this.nowMs = view.nowMs();
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    void schedule(long delayMs, Event event) {
        emit(new Effect.Schedule(nowMs + delayMs, event));
    }

    /** Sends a message to a node. A message to this node is raised as a local event. */
    void send(NodeId to, ClaimMessage message) {
        if (to.equals(self)) {
            emit(new Effect.Raise(new PeerReceived(self, message)));
        } else {
            emit(new Effect.Send(to, message));
        }
    }

    /** Sends the rosters to a node that uses older ones. */
    void sendRostersIfStale(NodeId to, long revision) {
        if (revision < state.revision()) {
            send(to, new ClaimMessage.RosterNews(state.chain().get()));
        }
    }

    long claimLifetimeMs() {
        return view.config().defaults().claimLifetimeMs();
    }

    Step<ClaimState> toStep() {
        return new Step<>(state, effects);
    }
}
