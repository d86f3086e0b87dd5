package org.fuchsiadeck.core.config;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.model.SplitMix64;
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Keeps a node's configuration up to date: reads it from the platform's key-value service and exchanges it with other
 * entry nodes. Only a configuration with a higher revision replaces the one in force.
 */
public final class ConfigReducer implements Reducer<ConfigState> {
    /** The key of the key-value service that holds the configuration. */
    public static final String KEY = "config/current";

    /** Time after which the same revision may be parsed again, if no result has arrived. */
    private static final long PARSE_TIMEOUT_MS = 5_000;

    private static final String PLATFORM_SOURCE = "platform";

    @Override
    public Step<ConfigState> reduce(ConfigState state, View view, Event event) {
        if (event instanceof ConfigEvent config) {
            return onConfigEvent(new ConfigReduction(state, view), config);
        }
        if (event instanceof PeerReceived received && received.message() instanceof ConfigMessage message) {
            ConfigReduction reduction = new ConfigReduction(state, view);
            PeerExchange.onMessage(reduction, received.from(), message);
            return finish(reduction);
        }
        if (event instanceof PlatformEvent platform && PlatformReader.isResultOfOwnCall(platform)) {
            ConfigReduction reduction = new ConfigReduction(state, view);
            PlatformReader.onResult(reduction, platform);
            return finish(reduction);
        }
        if (event instanceof LifecycleEvent.Started) {
            return onStarted(new ConfigReduction(state, view));
        }
        return Step.of(state);
    }

    /** Starts parsing a value, unless its revision or a newer one is in force, was rejected or is being parsed. */
    static void parseIfNewer(ConfigReduction reduction, long revision, String value, String source) {
        ConfigState.Candidate candidate = reduction.state().candidate();
        boolean parseMayComplete = reduction.nowMs() - candidate.sinceMs() < PARSE_TIMEOUT_MS;
        if (revision <= reduction.newestHandledRevision() || revision <= candidate.parsing() && parseMayComplete) {
            return;
        }
        parse(reduction, revision, value, source);
    }

    /** Starts parsing a value. */
    static void parse(ConfigReduction reduction, long revision, String value, String source) {
        ConfigState.Candidate candidate = reduction.state().candidate();
        reduction.setCandidate(revision, candidate.rejected());
        reduction.emit(new ConfigEffect.Parse(revision, value, source));
    }

    /** Starts parsing an entry if it holds a newer configuration. A deleted key is ignored. */
    static void parseEntryIfNewer(ConfigReduction reduction, PlatformEvent.Entry entry) {
        if (entry.key().equals(KEY) && entry.value().isPresent()) {
            parseIfNewer(reduction, entry.revision(), entry.value().get(), PLATFORM_SOURCE);
        }
    }

    private static Step<ConfigState> onStarted(ConfigReduction reduction) {
        long now = reduction.nowMs();
        long seed = reduction.view.self().seed()
                ^ Rendezvous.hash(reduction.view.self().id().value());
        reduction.setRandom(new SplitMix64(seed));
        reduction.setStartup(
                new ConfigState.StartupProgress(false, now, false, 0, Map.of(), now),
                reduction.state().unready());
        reduction.finishCall(reduction.state().reading().position(), now, 0, false);
        return onTick(reduction);
    }

    private static Step<ConfigState> onConfigEvent(ConfigReduction reduction, ConfigEvent event) {
        if (event instanceof ConfigEvent.Parsed parsed) {
            return onParsed(reduction, parsed);
        }
        if (event instanceof ConfigEvent.Rejected rejected) {
            return onRejected(reduction, rejected);
        }
        if (event instanceof ConfigEvent.ProofWanted wanted) {
            CurrencyChecks.onWanted(reduction, wanted.arrivedMs());
            return finish(reduction);
        }
        if (event instanceof ConfigEvent.CheckDue due) {
            CurrencyChecks.onTimer(reduction, due.number());
            return finish(reduction);
        }
        return onTick(reduction);
    }

    private static Step<ConfigState> onTick(ConfigReduction reduction) {
        reduction.emit(new Effect.Schedule(CallSchedule.nextTickMs(reduction.nowMs()), new ConfigEvent.Tick()));
        PlatformReader.onTick(reduction);
        PeerExchange.onTick(reduction);
        return finish(reduction);
    }

    private static Step<ConfigState> onParsed(ConfigReduction reduction, ConfigEvent.Parsed event) {
        Configuration parsed = event.configuration();
        Configuration current = reduction.state().current();
        long revision = parsed.revision();
        if (!parsed.isNewerThan(current)) {
            if (revision > current.revision()) {
                reduction.setOlder(revision);
                reduction.log(
                        EventCode.CONFIG_KEPT,
                        "revision " + revision + " from " + event.source() + ": expected version " + current.version()
                                + " or a later one, got " + parsed.version());
            }
            return finish(reduction);
        }
        if (revision < current.revision()) {
            reduction.setOlder(current.revision());
        }
        reduction.emit(logApplied(reduction, revision, event.source()));
        reduction.setCurrent(event.configuration(), event.value(), event.source());
        PeerExchange.broadcastRevision(reduction);
        return finish(reduction);
    }

    /** Says how long ago the revision was requested from a peer, if it was, and how long ago its text arrived. */
    private static Effect logApplied(ConfigReduction reduction, long revision, String source) {
        Map<String, Object> fields = new LinkedHashMap<>();
        ConfigState.ExchangeState exchange = reduction.state().exchange();
        if (exchange.fetching() >= revision) {
            fields.put("requested_ms", reduction.nowMs() - exchange.fetchedMs());
        }
        fields.put(
                "arrived_ms", reduction.nowMs() - reduction.state().candidate().sinceMs());
        return new Effect.Log(EventCode.CONFIG_APPLIED, "revision " + revision + " from " + source, fields);
    }

    private static Step<ConfigState> onRejected(ConfigReduction reduction, ConfigEvent.Rejected event) {
        if (event.revision() <= reduction.newestHandledRevision()) {
            return Step.of(reduction.state());
        }
        reduction.setCandidate(0, event.revision());
        reduction.log(
                EventCode.CONFIG_REJECTED,
                "revision " + event.revision() + " from " + event.source() + ": " + event.detail());
        return finish(reduction);
    }

    private static Step<ConfigState> finish(ConfigReduction reduction) {
        PlatformReader.startCallIfDue(reduction);
        Readiness.update(reduction);
        return reduction.toStep();
    }
}
