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
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Learns the configuration from the platform's service and from other entry nodes, and spreads it. Only a higher
 * revision replaces the one in force.
 */
public final class ConfigReducer implements Reducer<ConfigState> {
    /** The key that holds the configuration. */
    public static final String KEY = "config/current";

    private static final long PARSE_TIMEOUT_MS = 5_000;
    private static final String PLATFORM = "platform";

    @Override
    public Step<ConfigState> reduce(ConfigState state, View view, Event event) {
        if (event instanceof ConfigEvent config) {
            return configEvent(new Draft(state, view), config);
        }
        if (event instanceof PeerReceived received && received.message() instanceof ConfigMessage message) {
            Draft draft = new Draft(state, view);
            PeerExchange.received(draft, received.from(), message);
            return finish(draft);
        }
        if (event instanceof PlatformEvent platform && PlatformReader.concerns(platform)) {
            Draft draft = new Draft(state, view);
            PlatformReader.returned(draft, platform);
            return finish(draft);
        }
        if (event instanceof Lifecycle.Started) {
            return started(new Draft(state, view));
        }
        return Step.of(state);
    }

    /** Reads a value as a configuration, unless its revision is settled or being read already. */
    static void learn(Draft draft, long revision, String value, String source) {
        ConfigState.Candidate c = draft.state().candidate();
        boolean waiting = draft.nowMs() - c.sinceMs() < PARSE_TIMEOUT_MS;
        if (revision <= draft.settled() || revision <= c.parsing() && waiting) {
            return;
        }
        draft.candidate(revision, c.rejected());
        draft.effect(new ConfigEffect.Parse(revision, value, source));
    }

    static void learnFromPlatform(Draft draft, PlatformEvent.Entry entry) {
        if (entry.key().equals(KEY) && entry.value().isPresent()) {
            learn(draft, entry.revision(), entry.value().get(), PLATFORM);
        }
    }

    private static Step<ConfigState> started(Draft draft) {
        long now = draft.nowMs();
        long seed = draft.view.self().seed()
                ^ Rendezvous.hash(draft.view.self().id().value());
        draft.random(new SplitMix64(seed));
        draft.startup(
                new ConfigState.Startup(false, now, false, 0, Map.of(), now),
                draft.state().unready());
        draft.idle(draft.state().reading().position(), now, 0, false);
        return tick(draft);
    }

    private static Step<ConfigState> configEvent(Draft draft, ConfigEvent event) {
        if (event instanceof ConfigEvent.Parsed parsed) {
            return parsed(draft, parsed);
        }
        if (event instanceof ConfigEvent.Rejected rejected) {
            return rejected(draft, rejected);
        }
        return tick(draft);
    }

    private static Step<ConfigState> tick(Draft draft) {
        draft.effect(new Effect.Schedule(CallSchedule.nextTickMs(draft.nowMs()), new ConfigEvent.Tick()));
        PlatformReader.tick(draft);
        PeerExchange.tick(draft);
        return finish(draft);
    }

    private static Step<ConfigState> parsed(Draft draft, ConfigEvent.Parsed event) {
        long revision = event.configuration().revision();
        if (revision <= draft.revision()) {
            return Step.of(draft.state());
        }
        draft.inForce(event.configuration(), event.value(), event.source());
        draft.log(EventCode.CONFIG_APPLIED, "revision " + revision + " from " + event.source());
        PeerExchange.announceToMany(draft);
        return finish(draft);
    }

    private static Step<ConfigState> rejected(Draft draft, ConfigEvent.Rejected event) {
        if (event.revision() <= draft.settled()) {
            return Step.of(draft.state());
        }
        draft.candidate(0, event.revision());
        draft.log(
                EventCode.CONFIG_REJECTED,
                "revision " + event.revision() + " from " + event.source() + ": " + event.detail());
        return finish(draft);
    }

    private static Step<ConfigState> finish(Draft draft) {
        PlatformReader.issue(draft);
        Readiness.update(draft);
        return draft.step();
    }
}
