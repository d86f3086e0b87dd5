package org.fuchsiadeck.core.config;

import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.Lifecycle;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.model.SplitMix64;
import org.fuchsiadeck.core.platform.Pacing;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Learns the configuration from the platform's service and from other entry nodes, and spreads it. Only a higher
 * revision replaces the one in force.
 */
public final class ConfigReducer implements Reducer<ConfigState> {
    /** The key that holds the configuration. */
    public static final String KEY = "config/current";

    private static final long PARSE_TIMEOUT_MS = 5_000;
    private static final String PLATFORM_SOURCE = "platform";

    @Override
    public Step<ConfigState> reduce(ConfigState state, View view, Event event) {
        if (event instanceof ConfigEvent config) {
            return onConfigEvent(new ConfigReduction(state, view), config);
        }
        if (event instanceof PeerReceived received && received.message() instanceof ConfigMessage message) {
            ConfigReduction draft = new ConfigReduction(state, view);
            PeerExchange.onMessage(draft, received.from(), message);
            return finish(draft);
        }
        if (event instanceof PlatformEvent platform && PlatformReader.isResultOfOwnCall(platform)) {
            ConfigReduction draft = new ConfigReduction(state, view);
            PlatformReader.onResult(draft, platform);
            return finish(draft);
        }
        if (event instanceof Lifecycle.Started) {
            return onStarted(new ConfigReduction(state, view));
        }
        return Step.of(state);
    }

    /** Reads a value as a configuration, unless its revision is settled or being read already. */
    static void parseIfNewer(ConfigReduction draft, long revision, String value, String source) {
        ConfigState.Candidate c = draft.state().candidate();
        boolean waiting = draft.nowMs() - c.sinceMs() < PARSE_TIMEOUT_MS;
        if (revision <= draft.newestHandledRevision() || revision <= c.parsing() && waiting) {
            return;
        }
        draft.setCandidate(revision, c.rejected());
        draft.emit(new ConfigEffect.Parse(revision, value, source));
    }

    static void parseEntryIfNewer(ConfigReduction draft, PlatformEvent.Entry entry) {
        if (entry.key().equals(KEY) && entry.value().isPresent()) {
            parseIfNewer(draft, entry.revision(), entry.value().get(), PLATFORM_SOURCE);
        }
    }

    private static Step<ConfigState> onStarted(ConfigReduction draft) {
        long now = draft.nowMs();
        long seed = draft.view.self().seed()
                ^ Rendezvous.hash(draft.view.self().id().value());
        draft.setRandom(new SplitMix64(seed));
        draft.setStartup(
                new ConfigState.StartupProgress(false, now, false, 0, Map.of(), now),
                draft.state().unready());
        draft.finishCall(draft.state().reading().position(), now, 0, false);
        return onTick(draft);
    }

    private static Step<ConfigState> onConfigEvent(ConfigReduction draft, ConfigEvent event) {
        if (event instanceof ConfigEvent.Parsed parsed) {
            return onParsed(draft, parsed);
        }
        if (event instanceof ConfigEvent.Rejected rejected) {
            return onRejected(draft, rejected);
        }
        return onTick(draft);
    }

    private static Step<ConfigState> onTick(ConfigReduction draft) {
        draft.emit(new Effect.Schedule(Pacing.beat(draft.nowMs()), new ConfigEvent.Tick()));
        PlatformReader.onTick(draft);
        PeerExchange.onTick(draft);
        return finish(draft);
    }

    private static Step<ConfigState> onParsed(ConfigReduction draft, ConfigEvent.Parsed event) {
        long revision = event.configuration().revision();
        if (revision <= draft.revision()) {
            return Step.of(draft.state());
        }
        draft.setCurrent(event.configuration(), event.value(), event.source());
        draft.log(EventCode.CONFIG_APPLIED, "revision " + revision + " from " + event.source());
        PeerExchange.broadcastRevision(draft);
        return finish(draft);
    }

    private static Step<ConfigState> onRejected(ConfigReduction draft, ConfigEvent.Rejected event) {
        if (event.revision() <= draft.newestHandledRevision()) {
            return Step.of(draft.state());
        }
        draft.setCandidate(0, event.revision());
        draft.log(
                EventCode.CONFIG_REJECTED,
                "revision " + event.revision() + " from " + event.source() + ": " + event.detail());
        return finish(draft);
    }

    private static Step<ConfigState> finish(ConfigReduction draft) {
        PlatformReader.startCallIfDue(draft);
        Readiness.update(draft);
        return draft.toStep();
    }
}
