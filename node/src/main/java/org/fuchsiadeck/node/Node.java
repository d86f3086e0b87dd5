package org.fuchsiadeck.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.NodeState;
import org.fuchsiadeck.core.SettingsEvent;
import org.fuchsiadeck.core.config.ConfigEffect;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.ConfigState;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.duty.DutyEffect;
import org.fuchsiadeck.core.membership.MembershipEffect;
import org.fuchsiadeck.core.membership.MembershipEvent;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.Position;
import org.fuchsiadeck.core.request.RequestCounters;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.node.backend.BackendClient;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.exchange.ByteBudget;
import org.fuchsiadeck.node.exchange.Exchanges;
import org.fuchsiadeck.node.front.CallerServer;
import org.fuchsiadeck.node.front.ConfigurationSource;
import org.fuchsiadeck.node.front.Front;
import org.fuchsiadeck.node.listing.BackendDirectory;
import org.fuchsiadeck.node.listing.InstanceList;
import org.fuchsiadeck.node.log.EventLog;
import org.fuchsiadeck.node.operator.DumpJson;
import org.fuchsiadeck.node.operator.DumpSource;
import org.fuchsiadeck.node.operator.Operations;
import org.fuchsiadeck.node.operator.OperatorServer;
import org.fuchsiadeck.node.run.Closer;
import org.fuchsiadeck.node.run.EffectDispatcher;
import org.fuchsiadeck.node.run.EffectHandler;
import org.fuchsiadeck.node.run.EventLoop;
import org.fuchsiadeck.node.run.EventLoopWatchdog;
import org.fuchsiadeck.node.run.SelectorDelays;
import org.fuchsiadeck.node.settings.LoadedSettings;
import org.fuchsiadeck.node.settings.Settings;
import org.fuchsiadeck.node.settings.SettingsError;

/**
 * An entry node within a process. It serves from {@link #start} until {@link #awaitDrained} returns.
 */
public final class Node implements AutoCloseable {
    private static final long SWEEP_MS = 250;

    private final Settings settings;
    private final Parts parts;
    private final Closer closer = new Closer();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EventLog log = new EventLog();
    private final Histogram firstMs = metrics.histogram("requests.first_ms");
    private final Histogram tookMs = metrics.histogram("requests.took_ms");
    private final Exchanges exchanges;
    private final ByteBudget budget;
    private final EffectDispatcher effects = new EffectDispatcher();
    private final EventLoop loop;
    private final Drain drain;
    private final Housekeeping chores = new Housekeeping();
    private final EventLoopWatchdog watch;
    private final SelectorDelays delays = new SelectorDelays();
    private final AtomicBoolean started = new AtomicBoolean();
    private BackendClient backends;
    private CallerServer callers;
    private BackendDirectory instances;
    private volatile Runnable lost = () -> {};

    private Node(Settings settings, Parts parts) {
        this.settings = settings;
        this.parts = parts;
        this.exchanges = new Exchanges(settings.limits().maxStreams());
        this.budget = new ByteBudget(settings.limits().maxBufferedBytes());
        this.loop = new EventLoop(initial(settings), parts.decisions(), effects, metrics);
        this.watch = new EventLoopWatchdog(loop, log, () -> lost.run());
        this.drain = new Drain(
                this::beginDrain,
                () -> exchanges.size() + callers.unfinished(),
                this::handedOver,
                settings.drainIntakeMs());
    }

    /**
     * Starts a node.
     *
     * @param loaded the settings
     * @param parts the parts that can be exchanged
     * @return the node, or why it can't start; nothing stays open then
     */
    public static Either<SettingsError, Node> start(LoadedSettings loaded, Parts parts) {
        Node node = new Node(loaded.settings(), parts);
        try {
            node.open();
            return Either.right(node);
        } catch (StartException e) {
            node.close();
            return Either.left(loaded.error(e.key(), e.getMessage()));
        }
    }

    private void open() throws StartException {
        closer.add(loop);
        closer.add(delays);
        HttpClient client = closer.add(step("callers.address", HttpClient::start));
        backends = new BackendClient(
                client,
                parts.backends(),
                loop,
                new BackendClient.CurrentState(this::configuration, this::hasDeparted, this::isBehind),
                log,
                metrics,
                settings.limits().maxAnswerBytes());
        instances = parts.directory()
                ? BackendDirectory.IN_STATE
                : new InstanceList(client, settings.cloud(), this::postListing, metrics);
        Parts.Surroundings around = new Parts.Surroundings(settings, loop, closer, metrics, loop::state);
        EffectHandler<Effect> platform =
                step("platform.address", () -> parts.platform().open(around));
        // What comes before the rest of the start is done waits for it; at a closed port it would be lost.
        callers = closer.add(step("callers.address", () -> CallerServer.start(front())));
        EffectHandler<Effect> peers = step("peers.address", () -> parts.peers().open(around));
        effects.register(RequestEffect.class, new RequestEffects(exchanges, backends))
                .register(PlatformEffect.class, platform::handle)
                .register(ConfigEffect.class, platform::handle)
                .register(DutyEffect.class, platform::handle)
                .register(Effect.Send.class, peers::handle)
                .register(MembershipEffect.class, peers::handle)
                .register(Effect.Log.class, this::logged)
                .register(Effect.Stop.class, e -> drain.allAnswered());
        closer.add(step(
                "operators.address",
                () -> OperatorServer.start(settings.operators(), settings.operatorToken(), operations())));
        if (settings.ready().isPresent()) {
            closer.add(step(
                    "operators.ready",
                    () -> OperatorServer.start(settings.ready().get(), settings.operatorToken(), operations())));
        }
        metrics.registerGauge("requests.open", exchanges::size);
        metrics.registerGauge("requests.streams", exchanges::streams);
        metrics.registerGauge(DumpJson.BUFFERED_BYTES, budget::held);
        metrics.registerGauge("front.connections", callers::connections);
        metrics.registerGauge("config.age_ms", configurationSource()::ageMs);
        metrics.registerGauge(
                "platform.era",
                () -> Position.era(loop.state().config().currency().revision()));
        metrics.registerGauge(
                "servers.list_age_ms", () -> loop.state().directory().history().ageMs(loop.nowMs()));
        metrics.registerGauge(
                "servers.limited",
                () -> loop.state().requests().fleet().limits().count(l -> l._2.active()));
        metrics.registerGauge("capacity.in_use", () -> CapacityFigures.inUse(loop.state(), loop.nowMs()));
        metrics.registerGauge("capacity.waiting", () -> CapacityFigures.waiting(loop.state(), loop.nowMs()));
        metrics.registerGauge("capacity.releases", () -> CapacityFigures.releases(loop.state()));
        loop.start();
        loop.post(new LifecycleEvent.Started());
        loop.post(new MembershipEvent.Seeded(settings.peerSeeds()));
        closer.add(watch);
        watch.start();
        closer.add(chores);
        if (!parts.directory()) {
            chores.every(settings.cloudPollMs(), instances::poll);
        }
        chores.every(SWEEP_MS, this::sweep);
        started.set(true);
        log.write(EventCode.NODE_STARTED, settings.identity().id() + " callers " + settings.callers());
    }

    private static NodeState initial(Settings settings) {
        return NodeState.initial(settings.identity(), settings.sharing(), settings.duties());
    }

    private Front front() {
        return new Front(
                settings.identity().id(),
                settings.callers(),
                parts.callers(),
                settings.limits(),
                budget,
                exchanges,
                loop,
                configurationSource(),
                log,
                metrics,
                delays);
    }

    private ConfigurationSource configurationSource() {
        return new ConfigurationSource() {
            @Override
            public Configuration current() {
                return configuration();
            }

            @Override
            public long ageMs() {
                return loop.state().config().currency().ageMs(loop.nowMs());
            }

            @Override
            public long nowMs() {
                return loop.nowMs();
            }

            @Override
            public ConfigState.Proof proofFor(long arrivedMs) {
                ConfigState config = loop.state().config();
                return configuration() == config.current()
                        ? config.proofFor(arrivedMs, loop.nowMs())
                        : ConfigState.Proof.GIVEN;
            }

            @Override
            public void requestProof(long arrivedMs) {
                loop.post(new ConfigEvent.ProofWanted(arrivedMs));
            }
        };
    }

    private Operations operations() {
        return new Operations(
                this::unready, this::dump, metrics, this::counts, () -> requestStop(settings.drainNoticeMs()));
    }

    /**
     * Asks the node to stop once what is in progress has been answered. Asking again does nothing.
     *
     * @param noticeMs the time left, in milliseconds
     */
    public void requestStop(long noticeMs) {
        drain.request(noticeMs);
    }

    /**
     * Waits until the node was asked to stop and has answered what was in progress, or its time is over.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitDrained() throws InterruptedException {
        drain.await();
    }

    /**
     * Sets what is done when the node can't decide anything any more, since its event loop does not come back. It can't be
     * closed then.
     *
     * @param action run at most once, on a thread of its own
     */
    public void whenLost(Runnable action) {
        lost = action;
    }

    /** Closes all that the node has opened. Answers still in progress are cut. */
    @Override
    public void close() {
        closer.close();
        if (started.compareAndSet(true, false)) {
            log.write(EventCode.NODE_STOPPED, settings.identity().id().toString());
        }
    }

    /**
     * Puts settings into force that can change while the node runs: the limits that all nodes share, how duties are
     * carried out, and the level of the log. Other settings need a restart.
     *
     * @param changed the settings as they are now
     */
    public void reload(Settings changed) {
        loop.post(new SettingsEvent.Changed(changed.sharing(), changed.duties()));
        boolean rest = settings.withLimitsOf(changed).equals(changed);
        log.write(
                EventCode.SETTINGS_RELOADED,
                "sharing " + changed.sharing() + ", duties " + changed.duties()
                        + (rest ? "" : "; other changes need a restart"));
    }

    private boolean handedOver() {
        return parts.directory() || handedOver(loop.state());
    }

    /** Tells whether nothing is left to hand over, or nobody is there to take it. */
    static boolean handedOver(NodeState state) {
        boolean alone = state.members().peers().alive().isEmpty();
        return alone || state.claims().isHandedOver(state.self().id());
    }

    /** Callers notice only after some time that a node is not ready any more, so it goes on for them until then. */
    private void beginDrain(long noticeMs, long intakeMs) {
        log.write(
                EventCode.NODE_DRAINING,
                settings.identity().id() + " notice " + noticeMs + " ms, requests taken for " + intakeMs + " ms");
        callers.drain();
        LifecycleEvent stop = new LifecycleEvent.StopRequested(noticeMs - intakeMs);
        if (intakeMs > 0) {
            chores.after(intakeMs, () -> loop.post(stop));
        } else {
            loop.post(stop);
        }
    }

    private void postListing(Event event) {
        loop.post(event);
        boolean own = event instanceof PlatformEvent.ReclaimNoticed notice
                && notice.instance().equals(settings.identity().id().value());
        if (own) {
            requestStop(((PlatformEvent.ReclaimNoticed) event).noticeMs());
        }
    }

    private void sweep() {
        callers.sweep();
        backends.closeExpiredConnections();
        exchanges.reportWaiting();
        loop.state().requests().spillZones().forEach(this::registerSpillGauge);
    }

    /** Zones become known with the first servers, after which each has a gauge. */
    private void registerSpillGauge(Zone zone) {
        String name = "zones.spill_fraction." + zone;
        if (!metrics.getGauges().containsKey(name)) {
            metrics.registerGauge(name, () -> loop.state().requests().spillFraction(zone));
        }
    }

    private void logged(Effect.Log event) {
        if (event.code() == EventCode.REQUEST_ANSWERED) {
            firstMs.update((long) event.fields().get("first_ms"));
            tookMs.update((long) event.fields().get("took_ms"));
        }
        log.handle(event);
    }

    private Map<String, Long> counts() {
        RequestCounters counters = loop.state().requests().counters();
        Map<String, Long> all = new TreeMap<>();
        all.put("requests.answered", counters.answered());
        all.put("requests.callers_gone", counters.callersGone());
        all.put("requests.stale_answers", counters.stale());
        all.put("servers.suspicions", counters.suspicions());
        all.put("servers.pauses", counters.pauses());
        all.put("prompts.quarantines", (long)
                loop.state().quarantine().quarantines().size());
        counters.refused().forEach((reason, n) -> all.put("requests.refused." + reason, n));
        counters.unknown().forEach((reason, n) -> all.put("requests.unknown." + reason, n));
        counters.queueing().forEach((event, n) -> all.put("queue." + event, n));
        counters.dispatches().forEach((cause, n) -> all.put("requests.placed." + cause, n));
        return all;
    }

    private boolean isBehind() {
        return loop.isBehind() || delays.isBehind();
    }

    private boolean hasDeparted(BackendId id) {
        Fleet fleet = loop.state().requests().fleet();
        return fleet.departure(id).isPresent() || !fleet.servers().get(id).exists(BackendStatus::listed);
    }

    private Configuration configuration() {
        return parts.configuration().apply(loop.state());
    }

    private List<String> unready() {
        List<String> reasons = new ArrayList<>(parts.unready().apply(loop.state()));
        if (drain.isRequested()) {
            reasons.add("the node is draining");
        }
        if (!instances.isKnown()) {
            reasons.add("the list of instances was not read yet");
        }
        return reasons;
    }

    private JsonNode dump(boolean whole) {
        DumpSource source = new DumpSource(
                loop.nowMs(),
                System.currentTimeMillis(),
                loop.state(),
                configuration(),
                settings,
                metrics,
                drain.isRequested(),
                unready(),
                backends.idleConnections(),
                exchanges.size());
        return DumpJson.of(source, whole);
    }

    /** Opens one part. */
    @FunctionalInterface
    private interface Opening<T> {
        T open() throws Exception;
    }

    private static <T> T step(String key, Opening<T> opening) throws StartException {
        try {
            return opening.open();
        } catch (IOException e) {
            throw new StartException(key, "can't be opened: " + e.getMessage(), e);
        } catch (Exception e) {
            throw new StartException(key, "can't be used: " + e, e);
        }
    }
}
