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
import org.fuchsiadeck.core.platform.Position;

/**
 * Collects the next state and the effects while one event of the configuration is reduced.
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

    /** Returns the revision in force. */
    long revision() {
        return state.current().revision();
    }

    /** Returns the newest revision that is in force or was rejected; it and older ones need not be parsed. */
    long newestHandledRevision() {
        return state.newestHandledRevision();
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

    /** Returns the announcement of the configuration in force. */
    ConfigMessage.Announce announcement(long number, long ageMs) {
        return new ConfigMessage.Announce(revision(), state.current().version(), number, ageMs);
    }

    Step<ConfigState> toStep() {
        return new Step<>(state, effects);
    }

    long randomBelow(long bound) {
        SplitMix64 random = state.random().next();
        setRandom(random);
        return random.below(bound);
    }

    /** Chooses up to {@code count} live peers at random. */
    List<Peers.Peer> randomPeers(int count, Set<NodeId> excluded) {
        List<Peers.Peer> remaining = new ArrayList<>(view.peers().alive().values());
        remaining.removeIf(peer -> excluded.contains(peer.id()));
        List<Peers.Peer> chosen = new ArrayList<>();
        while (chosen.size() < count && !remaining.isEmpty()) {
            chosen.add(remaining.remove((int) randomBelow(remaining.size())));
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
                state.currency(),
                state.check(),
                state.random(),
                state.unready());
    }

    void setCandidate(long parsing, long rejected) {
        setCandidate(new ConfigState.Candidate(
                parsing, nowMs(), rejected, state.candidate().older()));
    }

    /** Records that a revision need not be applied, since its document is older than the one in force. */
    void setOlder(long revision) {
        ConfigState.Candidate candidate = state.candidate();
        setCandidate(
                new ConfigState.Candidate(0, nowMs(), candidate.rejected(), Math.max(candidate.older(), revision)));
    }

    private void setCandidate(ConfigState.Candidate candidate) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                candidate,
                state.reading(),
                state.exchange(),
                state.startup(),
                state.currency(),
                state.check(),
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
                state.currency(),
                state.check(),
                state.random(),
                state.unready());
    }

    /** Records that no call is in progress and when the next one is due. */
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
                state.currency(),
                state.check(),
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
                state.currency(),
                state.check(),
                state.random(),
                unready);
    }

    /** Records the newest revision that an answer of the key-value service names, and when it was asked. */
    void recordNewest(long revision, long askedMs) {
        long era = Position.era(state.currency().revision());
        if (era < Position.era(revision) && state.currency().revision() > 0) {
            log(
                    EventCode.PLATFORM_RESTORED,
                    "reading " + ConfigReducer.KEY + ": expected era " + era + ", got era " + Position.era(revision));
        }
        setCurrency(state.currency().withAnswer(revision, askedMs));
    }

    void setCurrency(Currency currency) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                state.candidate(),
                state.reading(),
                state.exchange(),
                state.startup(),
                currency,
                state.check(),
                state.random(),
                state.unready());
    }

    void setCheck(ConfigState.CheckState check) {
        state = new ConfigState(
                state.current(),
                state.value(),
                state.origin(),
                state.candidate(),
                state.reading(),
                state.exchange(),
                state.startup(),
                state.currency(),
                check,
                state.random(),
                state.unready());
    }

    /** Records that the key-value service answered a read; a revision of 0 stands for no configuration. */
    void recordPlatformRevision(long revision) {
        setStartup(state.startup().withPlatformRevision(revision), state.unready());
    }

    /** Records the configuration that a peer has. Without effect once the node is ready, as only readiness depends on it. */
    void recordReport(NodeId peer, long revision, long version) {
        if (!state.startup().done()) {
            ConfigState.Reported report = new ConfigState.Reported(revision, version);
            setStartup(state.startup().withReport(peer, report), state.unready());
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
                state.currency(),
                state.check(),
                random,
                state.unready());
    }
}
