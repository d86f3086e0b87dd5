package org.fuchsiadeck.core.directory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Try;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.LifecycleEvent;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.Reducer;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.CallSchedule;
import org.fuchsiadeck.core.platform.LeasedKey;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.platform.WatchedKeys;

import static java.util.Objects.requireNonNull;

/**
 * Maintains the lists of backend servers and entry nodes from the platform's service, and this node's own entry there.
 * Raises {@link PlatformEvent.Listed} whenever one of the lists has changed.
 */
public final class DirectoryReducer implements Reducer<DirectoryState> {
    /**
     * Tick interval of a node that polls often. Such a node learns of leaving servers only by its own calls, so it has to
     * detect time-outs quickly.
     */
    private static final long FREQUENT_TICK_MS = 100;

    /**
     * Settle time of the servers' watch on nodes of a large fleet that do not poll often. Without it, each change would cost
     * a call of every node; these nodes are told of leaving servers by their peers.
     */
    private static final long SERVERS_SETTLE_MS = 1_500;

    /**
     * Settle time of the nodes' watch for each registered node. Nodes that start together register one after another, over a
     * time that grows with the fleet.
     */
    private static final long NODES_SETTLE_PER_NODE_MS = 20;

    private static final long NODES_SETTLE_MIN_MS = 250;

    private static final long NODES_SETTLE_MAX_MS = 1_500;

    /**
     * Age of the last renewal of this node's entry from which the next one is overdue. Renewals are sent three times within
     * the time to live, every 2 s, and one may be late.
     */
    private static final long RENEWAL_OVERDUE_MS = 2_500;

    /**
     * Wait of the servers' watch on a node that polls often. A leaving server must get no new requests after 2 s, even if
     * the watch's connection is broken: the wait, the call's time-out, a tick and the next call fit into that time.
     */
    static final long SERVERS_WAIT_MS = 1_000;

    /**
     * Age of the knowledge of departures from which a node calls the service itself. With a tick and a call it stays below
     * the 3 s after which a server of a large fleet that has left must get no requests.
     */
    private static final long MAX_AGE_MS = 2_000;

    /** Time to live of this node's entry, longer than a pause of the process that peers tolerate. */
    private static final long REGISTRATION_TTL_MS = 6_000;

    /** Length of an outage, two heartbeats of a server, from which entries of live servers may have expired. */
    private static final long OUTAGE_MS = 2_000;

    /** Time for live servers to register again after an outage. They take about 2 s; half a second is added. */
    private static final long REREGISTRATION_MS = 2_500;

    private static final String SEPARATOR = " ";

    /** Number of simultaneous changes above which they are logged in one line. */
    private static final int MAX_SEPARATE_LOG_LINES = 3;

    /** Number of servers that such a line names. */
    private static final int MAX_SERVERS_PER_LOG_LINE = 20;

    private final BackendDecoder decoder;

    /**
     * Creates a reducer.
     *
     * @param decoder parses the servers' entries
     */
    public DirectoryReducer(BackendDecoder decoder) {
        this.decoder = requireNonNull(decoder, "decoder");
    }

    @Override
    public Step<DirectoryState> reduce(DirectoryState state, View view, Event event) {
        if (event instanceof LifecycleEvent.Started) {
            return onStarted(state, view);
        }
        if (event instanceof DirectoryEvent.Tick) {
            return onTick(state, view);
        }
        if (event instanceof PlatformEvent platform) {
            return onPlatformEvent(state, view, platform);
        }
        if (event instanceof PeerReceived received && received.message() instanceof DirectoryMessage message) {
            return message instanceof DirectoryMessage.Query query
                    ? DepartureExchange.onQuery(state, view, received.from(), query)
                    : onPeerDepartures(state, view, (DirectoryMessage.Departures) message);
        }
        return Step.of(state);
    }

    private Step<DirectoryState> onStarted(DirectoryState state, View view) {
        String self = view.self().id().value();
        String value = view.self().zone() + SEPARATOR + view.self().peerAddress();
        LeasedKey own = LeasedKey.of(DirectoryState.NODES_PREFIX + self, value, false, REGISTRATION_TTL_MS);
        DirectoryState next = state.withServers(
                        state.servers().withSeed(view.self().seed()))
                .withNodes(state.nodes().withSeed(view.self().seed()))
                .with(own);
        return onTick(next, view);
    }

    private Step<DirectoryState> onTick(DirectoryState state, View view) {
        long now = view.nowMs();
        List<Effect> out = new ArrayList<>();
        long overdueMs = renewalOverdueMs(state, now);
        WatchedKeys.Update reviewed = withServersTiming(state, view)
                .onPeerRevision(now, view.usage().newestPeerRevision(DirectoryState.SERVERS_PREFIX));
        out.addAll(reviewed.effects());
        WatchedKeys.Update renewed = withoutUnprovenWatch(state, reviewed.next(), now);
        out.addAll(renewed.effects());
        WatchedKeys.Update servers = renewed.next().onTick(now);
        long settleMs = nodesSettleMs(state.nodes().items().size());
        boolean starting = CallSchedule.isStarting(view);
        WatchedKeys timedNodes = state.nodes().withTiming(state.nodes().waitMs(), settleMs);
        WatchedKeys.Update nodes =
                starting ? new WatchedKeys.Update(timedNodes, false, List.of()) : timedNodes.onTick(now);
        out.addAll(servers.effects());
        out.addAll(nodes.effects());
        DirectoryState next = state.withServers(servers.next()).withNodes(nodes.next());
        boolean peersServed = view.usage().platformServesPeers(now);
        if (overdueMs >= OUTAGE_MS && !peersServed) {
            next = next.withServiceReturn(now);
        }
        next = next.served(isServed(next, overdueMs, now));
        Optional<LeasedKey.Update> registration =
                next.registration().filter(k -> !starting).map(k -> k.onTick(now));
        if (registration.isPresent()) {
            out.addAll(registration.get().effects());
            next = next.with(registration.get().next());
        }
        Map<String, Long> expired = next.held().filterValues(until -> now >= until || peersServed);
        if (!expired.isEmpty()) {
            next = next.with(
                            next.decoded().removeAll(expired.keySet()),
                            next.held().removeAll(expired.keySet()))
                    .with(next.history().withDeparted(DepartureExchange.removals(expired.keySet(), next)));
            expired.keySet()
                    .forEach(k -> out.add(
                            new Effect.Log(EventCode.BACKEND_REMOVED, k + " did not come back after the outage")));
            out.add(new Effect.Raise(toListed(next)));
        }
        next = DepartureExchange.queryPeer(next, view, out);
        boolean pollsOften = next.servers().waitMs() == SERVERS_WAIT_MS;
        boolean failing = next.servers().failures() > 0;
        long due = pollsOften || failing || starting ? now + FREQUENT_TICK_MS : CallSchedule.nextTickMs(now);
        out.add(new Effect.Schedule(due, new DirectoryEvent.Tick()));
        return new Step<>(next, out);
    }

    /**
     * Returns whether the service answers this node, and servers had time to register again after the last outage. Leases of
     * live servers expire only while the service is away for all nodes; a node that was served throughout has therefore seen
     * only servers removed that are really gone.
     */
    private static boolean isServed(DirectoryState state, long overdueMs, long nowMs) {
        boolean outage = overdueMs >= OUTAGE_MS || state.servers().unansweredMs(nowMs) >= OUTAGE_MS;
        return state.servers().known() && !outage && !isReregistering(state, nowMs);
    }

    private static boolean isReregistering(DirectoryState state, long nowMs) {
        return state.returnedMs() >= 0 && nowMs < state.returnedMs() + REREGISTRATION_MS;
    }

    private static long nodesSettleMs(int nodes) {
        return Math.max(NODES_SETTLE_MIN_MS, Math.min(NODES_SETTLE_MAX_MS, NODES_SETTLE_PER_NODE_MS * nodes));
    }

    /**
     * Sets the times of the servers' watch. A node whose own entry is not renewed has lost the service, even if its calls
     * have not timed out yet.
     */
    private static WatchedKeys withServersTiming(DirectoryState state, View view) {
        boolean overdue = renewalOverdueMs(state, view.nowMs()) > 0;
        long waitMs = overdue ? SERVERS_WAIT_MS : CallSchedule.watchWaitMs(view, SERVERS_WAIT_MS);
        boolean pollsOften = waitMs == SERVERS_WAIT_MS;
        return state.servers().withTiming(waitMs, pollsOften ? 0 : SERVERS_SETTLE_MS);
    }

    /** Returns for how long the renewal of this node's entry has been overdue, in milliseconds. */
    private static long renewalOverdueMs(DirectoryState state, long nowMs) {
        return state.registration()
                .map(k -> Math.max(0, nowMs - k.provenMs() - RENEWAL_OVERDUE_MS))
                .orElse(0L);
    }

    private Step<DirectoryState> onPlatformEvent(DirectoryState state, View view, PlatformEvent event) {
        long now = view.nowMs();
        long unansweredMs = state.servers().unansweredMs(now);
        WatchedKeys.Update servers = state.servers().onPlatformEvent(now, event);
        WatchedKeys.Update nodes = state.nodes().onPlatformEvent(now, event);
        List<Effect> out = new ArrayList<>(servers.effects());
        out.addAll(nodes.effects());
        DirectoryState next = state.withServers(servers.next()).withNodes(nodes.next());
        boolean answered = servers.next().answeredMs() > state.servers().answeredMs();
        if (answered
                && state.servers().known()
                && unansweredMs >= OUTAGE_MS
                && !view.usage().platformServesPeers(now)) {
            next = next.withServiceReturn(now);
        }
        Optional<LeasedKey.Update> registration = next.registration().map(k -> k.onPlatformEvent(now, event));
        if (registration.isPresent()) {
            out.addAll(registration.get().effects());
            next = next.with(registration.get().next());
        }
        if (servers.changed()) {
            next = decodeServers(next, state.servers().items(), view, out);
        }
        boolean read = servers.next() != state.servers() && !(event instanceof PlatformEvent.CallFailed);
        if (read && next.servers().position().isPresent()) {
            next = DepartureExchange.withAnsweredHistory(state, next, now);
        }
        DepartureExchange.notifyPeers(state, next, view, out);
        if (servers.changed() || nodes.changed()) {
            out.add(new Effect.Raise(toListed(next)));
        }
        return new Step<>(next, out);
    }

    /** Abandons the watch of a node whose knowledge of departures has not been proven for too long. */
    private static WatchedKeys.Update withoutUnprovenWatch(DirectoryState state, WatchedKeys servers, long nowMs) {
        long ageMs = state.history().ageMs(nowMs);
        return state.history().isStarted() && ageMs >= MAX_AGE_MS && servers.failures() == 0
                ? servers.onUnproven(nowMs, "nothing has shown for " + ageMs + " ms that the list is the newest")
                : new WatchedKeys.Update(servers, false, List.of());
    }

    private Step<DirectoryState> onPeerDepartures(
            DirectoryState state, View view, DirectoryMessage.Departures message) {
        boolean awaited = message.number() == state.queries().number();
        if (message.number() != DirectoryMessage.Departures.UNASKED && !awaited) {
            return Step.of(state);
        }
        DepartureHistory history =
                state.history().withPeerDepartures(message, state.queries().sentMs());
        DirectoryState next = state.with(history).with(state.queries().withAnswer(message.number()));
        List<Effect> out = new ArrayList<>();
        if (history.byKey() != state.history().byKey()) {
            next = decodeServers(next, state.servers().items(), view, out);
            out.add(new Effect.Raise(toListed(next)));
            DepartureExchange.notifyPeers(state, next, view, out);
        }
        return new Step<>(next, out);
    }

    private DirectoryState decodeServers(
            DirectoryState state, Map<String, PlatformEvent.Entry> before, View view, List<Effect> out) {
        Map<String, DirectoryState.RegisteredBackend> next = HashMap.empty();
        List<Effect.Log> listed = new ArrayList<>();
        List<Effect.Log> removed = new ArrayList<>();
        Map<String, PlatformEvent.Entry> present =
                state.servers().items().filterValues(e -> !state.history().isRemoved(e.key(), e.revision()));
        for (PlatformEvent.Entry entry : present.values()) {
            boolean unchanged = before.get(entry.key()).exists(e -> e.revision() == entry.revision());
            Optional<DirectoryState.RegisteredBackend> backend = decode(state, entry, unchanged, listed, out);
            if (backend.isPresent()) {
                next = next.put(entry.key(), backend.get());
            }
        }
        Map<String, Long> held = state.held().filterKeys(k -> !present.containsKey(k));
        boolean reregistering =
                isReregistering(state, view.nowMs()) && !view.usage().platformServesPeers(view.nowMs());
        for (String key : state.decoded().keySet()) {
            if (present.containsKey(key)) {
                continue;
            }
            if (held.containsKey(key) || reregistering) {
                held = held.containsKey(key) ? held : held.put(key, state.returnedMs() + REREGISTRATION_MS);
                next = next.put(key, state.decoded().get(key).get());
            } else {
                removed.add(new Effect.Log(EventCode.BACKEND_REMOVED, "", java.util.Map.of("server", key)));
            }
        }
        logChanges(listed, EventCode.BACKENDS_LISTED, out);
        logChanges(removed, EventCode.BACKENDS_REMOVED, out);
        return state.with(next, held);
    }

    /** Logs each change, or many changes in one line, since every node of a fleet logs the same ones. */
    private static void logChanges(List<Effect.Log> changes, EventCode summary, List<Effect> out) {
        if (changes.size() <= MAX_SEPARATE_LOG_LINES) {
            out.addAll(changes);
            return;
        }
        String servers = changes.stream()
                .limit(MAX_SERVERS_PER_LOG_LINE)
                .map(c -> c.fields().get("server").toString())
                .collect(Collectors.joining(" "));
        long leaving = changes.stream()
                .filter(c -> Boolean.TRUE.equals(c.fields().get("leaving")))
                .count();
        java.util.Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("count", changes.size());
        fields.put("leaving", leaving);
        fields.put("servers", servers);
        out.add(new Effect.Log(summary, "", fields));
    }

    private Optional<DirectoryState.RegisteredBackend> decode(
            DirectoryState state,
            PlatformEvent.Entry entry,
            boolean unchanged,
            List<Effect.Log> listed,
            List<Effect> out) {
        DirectoryState.RegisteredBackend known =
                state.decoded().get(entry.key()).getOrNull();
        boolean leaving = state.history().isLeaving(entry.key(), entry.revision());
        if (known != null
                && known.revision() == entry.revision()
                && (known.backend().leaving() || !leaving)) {
            return Optional.of(known);
        }
        String id = entry.key().substring(DirectoryState.SERVERS_PREFIX.length());
        Either<String, BackendDecoder.BackendEntry> result =
                decoder.decode(id, entry.value().orElse(""));
        if (result.isLeft()) {
            if (!unchanged) {
                Map<String, Object> unreadableFields =
                        HashMap.of("key", entry.key(), "revision", entry.revision(), "reason", result.getLeft());
                out.add(new Effect.Log(EventCode.BACKEND_UNREADABLE, "", unreadableFields.toJavaMap()));
            }
            return Optional.empty();
        }
        BackendDecoder.BackendEntry decoded = result.get();
        Backend backend = leaving ? decoded.backend().asLeaving() : decoded.backend();
        java.util.Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("server", backend.id());
        fields.put("service", backend.service());
        fields.put("version", backend.version());
        fields.put("address", backend.address());
        fields.put("zone", backend.zone());
        fields.put("reclaimable", backend.reclaimable());
        fields.put("leaving", backend.leaving());
        fields.put("revision", entry.revision());
        listed.add(new Effect.Log(EventCode.BACKEND_LISTED, "", fields));
        OptionalLong notice = decoded.noticeMs();
        if (notice.isPresent()) {
            out.add(new Effect.Raise(
                    new PlatformEvent.ReclaimNoticed(backend.id().value(), notice.getAsLong())));
        }
        return Optional.of(new DirectoryState.RegisteredBackend(entry.revision(), backend, notice.orElse(-1)));
    }

    private static PlatformEvent.Listed toListed(DirectoryState state) {
        List<Backend> backends = state.decoded()
                .values()
                .map(DirectoryState.RegisteredBackend::backend)
                .toJavaList();
        List<Peers.Peer> nodes = new ArrayList<>();
        for (PlatformEvent.Entry entry : state.nodes().items().values()) {
            parseNode(entry).forEach(nodes::add);
        }
        return new PlatformEvent.Listed(backends, nodes);
    }

    private static Try<Peers.Peer> parseNode(PlatformEvent.Entry entry) {
        return Try.of(() -> {
            String[] parts = entry.value().orElse("").split(SEPARATOR);
            NodeId id = new NodeId(entry.key().substring(DirectoryState.NODES_PREFIX.length()));
            return new Peers.Peer(id, Address.parse(parts[1]), new Zone(parts[0]));
        });
    }
}
