package org.fuchsiadeck.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.SplitMix64;

/**
 * A working copy of the state while one event is reduced, with the effects gathered so far.
 */
final class ConfigReduction {
    final View view;
    private final List<Effect> effects = new ArrayList<>();
    private ConfigState state;

    ConfigReduction(ConfigState state, View view) {
        this.state = state;
        this.view = view;
    }

    ConfigState state() {
        return state;
    }

    long nowMs() {
        return view.nowMs();
    }

    /** The revision in force. */
    long revision() {
        return state.current().revision();
    }

    /** The newest revision that needs no further look: in force, or known to be unusable. */
    long newestHandledRevision() {
        return Math.max(revision(), state.candidate().rejected());
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    void log(EventCode code, String detail) {
        effects.add(new Effect.Log(code, detail));
    }

    void send(NodeId to, ConfigMessage message) {
        effects.add(new Effect.Send(to, message));
    }

    Step<ConfigState> toStep() {
        return new Step<>(state, effects);
    }

    long randomBelow(long bound) {
        SplitMix64 random = state.random().next();
        setRandom(random);
        return random.below(bound);
    }

    /** Chooses some of the peers alive at random; all of them if there are no more. */
    List<Peers.Peer> randomPeers(int count, Set<NodeId> except) {
        List<Peers.Peer> all = new ArrayList<>(view.peers().alive().values());
        all.removeIf(p -> except.contains(p.id()));
        List<Peers.Peer> chosen = new ArrayList<>();
        while (chosen.size() < count && !all.isEmpty()) {
            chosen.add(all.remove((int) randomBelow(all.size())));
        }
        return chosen;
    }

    void setCurrent(Configuration configuration, String value, String source) {
        state = new ConfigState(
                configuration,
                value,
                new ConfigState.Origin(source, nowMs()),
                state.candidate(),
                state.reading(),
                state.exchange(),
                state.startup(),
                state.random(),
                state.unready());
    }

    void setCandidate(long parsing, long rejected) {
        ConfigState.Candidate c = new ConfigState.Candidate(parsing, nowMs(), rejected);
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                c,
                state.reading(),
                state.exchange(),
                state.startup(),
                state.random(),
                state.unready());
    }

    void setReading(ConfigState.ReaderState reading) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                state.candidate(),
                reading,
                state.exchange(),
                state.startup(),
                state.random(),
                state.unready());
    }

    /** Records the end of the call in progress and when the next is due. */
    void finishCall(OptionalLong position, long nextMs, int failures, boolean unavailable) {
        long sequence = state.reading().sequence();
        setReading(new ConfigState.ReaderState(sequence, Optional.empty(), position, nextMs, failures, unavailable));
    }

    void setExchange(ConfigState.ExchangeState exchange) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                state.candidate(),
                state.reading(),
                exchange,
                state.startup(),
                state.random(),
                state.unready());
    }

    void setStartup(ConfigState.StartupProgress startup, List<String> unready) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                state.candidate(),
                state.reading(),
                state.exchange(),
                startup,
                state.random(),
                unready);
    }

    /** Records that the platform's service answered a read; a revision of 0 stands for no configuration. */
    void recordPlatformRevision(long revision) {
        setStartup(state.startup().withPlatformRevision(revision), state.unready());
    }

    /** Records which revision a peer has. Only of use until the node is ready. */
    void recordPeerRevision(NodeId peer, long revision) {
        if (!state.startup().done()) {
            setStartup(state.startup().withPeerRevision(peer, revision), state.unready());
        }
    }

    void setRandom(SplitMix64 random) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                state.candidate(),
                state.reading(),
                state.exchange(),
                state.startup(),
                random,
                state.unready());
    }
}
