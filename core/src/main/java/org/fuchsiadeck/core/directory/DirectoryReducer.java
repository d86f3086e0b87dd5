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
import org.fuchsiadeck.core.Lifecycle;
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
 * Keeps the list of backend servers and of entry nodes from the platform's service, and this node's own entry there.
 * Raises {@link PlatformEvent.Listed} whenever the list has changed.
 */
public final class DirectoryReducer implements Reducer<DirectoryState> {
    /** A node that follows closely learns of leaving servers by its own calls alone, and gives up late ones at once. */
    private static final long CLOSE_TICK_MS = 100;

    /**
     * How long nodes of a large fleet that do not follow closely let changes come together: they hear of leaving servers from the others, and each
     * change would be a call of every node.
     */
    private static final long SERVERS_SETTLE_FAR_MS = 1_500;

    /** Nodes that start together register one after the other, over a time that grows with the fleet. */
    private static final long NODES_SETTLE_MS_EACH = 20;

    private static final long NODES_SETTLE_MIN_MS = 250;

    private static final long NODES_SETTLE_MAX_MS = 1_500;

    /** Renewals of this node's own entry come three times in its time to live; one may be late. */
    private static final long RENEWED_WITHIN_MS = 2_500;

    /**
     * How long a watch of the servers waits. A server that leaves gets no new work after 2 s, also where the watch's
     * connection went silent: the wait, the time limit of the call, a tick and the next call fit into it.
     */
    private static final long SERVERS_WAIT_MS = 1_000;

    /** How long this node's entry outlives it: longer than a pause that peers forgive. */
    private static final long REGISTRATION_TTL_MS = 6_000;

    /** An outage longer than this may have let entries of live servers lapse: two of their heartbeats. */
    private static final long OUTAGE_MS = 2_000;

    /** Entries of live servers that lapsed in an outage are back within about 2 s of its end; half a second is added. */
    private static final long RETURN_MS = 2_500;

    private static final String SEPARATOR = " ";

    /** More changes than this that come at once are logged in one line. */
    private static final int FEW = 3;

    /** Servers that such a line names. */
    private static final int MOST_NAMED = 20;

    private final BackendDecoder decoder;

    /**
     * Makes a reducer.
     *
     * @param decoder reads the servers' entries
     */
    public DirectoryReducer(BackendDecoder decoder) {
        this.decoder = requireNonNull(decoder, "decoder");
    }

    @Override
    public Step<DirectoryState> reduce(DirectoryState state, View view, Event event) {
        if (event instanceof Lifecycle.Started) {
            return started(state, view);
        }
        if (event instanceof DirectoryEvent.Tick) {
            return ticked(state, view);
        }
        if (event instanceof PlatformEvent platform) {
            return returned(state, view, platform);
        }
        return Step.of(state);
    }

    private Step<DirectoryState> started(DirectoryState state, View view) {
        String self = view.self().id().value();
        String value = view.self().zone() + SEPARATOR + view.self().peerAddress();
        LeasedKey own = LeasedKey.of(DirectoryState.NODES_PREFIX + self, value, false, REGISTRATION_TTL_MS);
        DirectoryState next = state.withServers(
                        state.servers().withSeed(view.self().seed()))
                .withNodes(state.nodes().withSeed(view.self().seed()))
                .with(own);
        return ticked(next, view);
    }

    private Step<DirectoryState> ticked(DirectoryState state, View view) {
        long now = view.nowMs();
        List<Effect> out = new ArrayList<>();
        long silentMs = silentMs(state, now);
        WatchedKeys.Update late =
                paced(state, view).onPeerRevision(now, view.use().newestSeen(DirectoryState.SERVERS_PREFIX));
        out.addAll(late.effects());
        WatchedKeys.Update servers = late.next().onTick(now);
        long settleMs = settleMs(state.nodes().items().size());
        boolean starting = CallSchedule.isStarting(view);
        WatchedKeys paced = state.nodes().withTiming(state.nodes().waitMs(), settleMs);
        WatchedKeys.Update nodes = starting ? new WatchedKeys.Update(paced, false, List.of()) : paced.onTick(now);
        out.addAll(servers.effects());
        out.addAll(nodes.effects());
        DirectoryState next = state.withServers(servers.next()).withNodes(nodes.next());
        boolean others = view.use().othersServed(now);
        if (silentMs >= OUTAGE_MS && !others) {
            next = next.withServiceReturn(now);
        }
        next = next.served(served(next, silentMs, now));
        Optional<LeasedKey.Update> own =
                next.registration().filter(k -> !starting).map(k -> k.onTick(now));
        if (own.isPresent()) {
            out.addAll(own.get().effects());
            next = next.with(own.get().next());
        }
        Map<String, Long> over = next.held().filterValues(until -> now >= until || others);
        if (!over.isEmpty()) {
            next = next.with(
                    next.decoded().removeAll(over.keySet()), next.held().removeAll(over.keySet()));
            over.keySet().forEach(k -> out.add(new Effect.Log(EventCode.BACKEND_REMOVED, k + " did not come back")));
            out.add(new Effect.Raise(listed(next)));
        }
        boolean close = next.servers().waitMs() == SERVERS_WAIT_MS;
        boolean failing = next.servers().failures() > 0;
        long due = close || failing || starting ? now + CLOSE_TICK_MS : CallSchedule.nextTickMs(now);
        out.add(new Effect.Schedule(due, new DirectoryEvent.Tick()));
        return new Step<>(next, out);
    }

    /** Entries lapse only if the service is away for all: a node that has been served all along has seen true removals. */
    private static boolean served(DirectoryState state, long silentMs, long nowMs) {
        boolean away = silentMs >= OUTAGE_MS || state.servers().unansweredMs(nowMs) >= OUTAGE_MS;
        return state.servers().known() && !away && !returning(state, nowMs);
    }

    private static boolean returning(DirectoryState state, long nowMs) {
        return state.returnedMs() >= 0 && nowMs < state.returnedMs() + RETURN_MS;
    }

    private static long settleMs(int nodes) {
        return Math.max(NODES_SETTLE_MIN_MS, Math.min(NODES_SETTLE_MAX_MS, NODES_SETTLE_MS_EACH * nodes));
    }

    /** A node whose own entry is not renewed has lost the service, whatever its waiting calls say. */
    private static WatchedKeys paced(DirectoryState state, View view) {
        boolean doubtful = silentMs(state, view.nowMs()) > 0;
        long waitMs = doubtful ? SERVERS_WAIT_MS : CallSchedule.watchWaitMs(view, SERVERS_WAIT_MS);
        boolean close = waitMs == SERVERS_WAIT_MS;
        return state.servers().withTiming(waitMs, close ? 0 : SERVERS_SETTLE_FAR_MS);
    }

    /** For how long the service has not renewed this node's entry, in milliseconds beyond the usual time. */
    private static long silentMs(DirectoryState state, long nowMs) {
        return state.registration()
                .map(k -> Math.max(0, nowMs - k.provenMs() - RENEWED_WITHIN_MS))
                .orElse(0L);
    }

    private Step<DirectoryState> returned(DirectoryState state, View view, PlatformEvent event) {
        long now = view.nowMs();
        long silentMs = state.servers().unansweredMs(now);
        WatchedKeys.Update servers = state.servers().onPlatformEvent(now, event);
        WatchedKeys.Update nodes = state.nodes().onPlatformEvent(now, event);
        List<Effect> out = new ArrayList<>(servers.effects());
        out.addAll(nodes.effects());
        DirectoryState next = state.withServers(servers.next()).withNodes(nodes.next());
        boolean back = servers.next().answeredMs() > state.servers().answeredMs();
        if (back
                && state.servers().known()
                && silentMs >= OUTAGE_MS
                && !view.use().othersServed(now)) {
            next = next.withServiceReturn(now);
        }
        Optional<LeasedKey.Update> own = next.registration().map(k -> k.onPlatformEvent(now, event));
        if (own.isPresent()) {
            out.addAll(own.get().effects());
            next = next.with(own.get().next());
        }
        if (servers.changed()) {
            next = decoded(next, state.servers().items(), view, out);
        }
        if (servers.changed() || nodes.changed()) {
            out.add(new Effect.Raise(listed(next)));
        }
        return new Step<>(next, out);
    }

    private DirectoryState decoded(
            DirectoryState state, Map<String, PlatformEvent.Entry> before, View view, List<Effect> out) {
        Map<String, DirectoryState.RegisteredBackend> next = HashMap.empty();
        List<Effect.Log> listed = new ArrayList<>();
        List<Effect.Log> removed = new ArrayList<>();
        for (PlatformEvent.Entry entry : state.servers().items().values()) {
            boolean seen = before.get(entry.key()).exists(e -> e.revision() == entry.revision());
            Optional<DirectoryState.RegisteredBackend> read = read(state, entry, seen, listed, out);
            if (read.isPresent()) {
                next = next.put(entry.key(), read.get());
            }
        }
        Map<String, Long> held =
                state.held().filterKeys(k -> !state.servers().items().containsKey(k));
        boolean returning = returning(state, view.nowMs()) && !view.use().othersServed(view.nowMs());
        for (String key : state.decoded().keySet()) {
            if (state.servers().items().containsKey(key)) {
                continue;
            }
            if (held.containsKey(key) || returning) {
                held = held.containsKey(key) ? held : held.put(key, state.returnedMs() + RETURN_MS);
                next = next.put(key, state.decoded().get(key).get());
            } else {
                removed.add(new Effect.Log(EventCode.BACKEND_REMOVED, "", java.util.Map.of("server", key)));
            }
        }
        log(listed, EventCode.BACKENDS_LISTED, out);
        log(removed, EventCode.BACKENDS_REMOVED, out);
        return state.with(next, held);
    }

    /** Logs each change, or many of them in one line: every node of a fleet sees the same. */
    private static void log(List<Effect.Log> changes, EventCode summary, List<Effect> out) {
        if (changes.size() <= FEW) {
            out.addAll(changes);
            return;
        }
        String servers = changes.stream()
                .limit(MOST_NAMED)
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

    private Optional<DirectoryState.RegisteredBackend> read(
            DirectoryState state, PlatformEvent.Entry entry, boolean seen, List<Effect.Log> listed, List<Effect> out) {
        DirectoryState.RegisteredBackend known =
                state.decoded().get(entry.key()).getOrNull();
        if (known != null && known.revision() == entry.revision()) {
            return Optional.of(known);
        }
        String id = entry.key().substring(DirectoryState.SERVERS_PREFIX.length());
        Either<String, BackendDecoder.BackendEntry> read =
                decoder.decode(id, entry.value().orElse(""));
        if (read.isLeft()) {
            if (!seen) {
                Map<String, Object> why =
                        HashMap.of("key", entry.key(), "revision", entry.revision(), "reason", read.getLeft());
                out.add(new Effect.Log(EventCode.BACKEND_UNREADABLE, "", why.toJavaMap()));
            }
            return Optional.empty();
        }
        BackendDecoder.BackendEntry found = read.get();
        Backend backend = found.backend();
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
        OptionalLong notice = found.noticeMs();
        if (notice.isPresent()) {
            out.add(new Effect.Raise(
                    new PlatformEvent.ReclaimNoticed(backend.id().value(), notice.getAsLong())));
        }
        return Optional.of(new DirectoryState.RegisteredBackend(entry.revision(), backend, notice.orElse(-1)));
    }

    private static PlatformEvent.Listed listed(DirectoryState state) {
        List<Backend> backends = state.decoded()
                .values()
                .map(DirectoryState.RegisteredBackend::backend)
                .toJavaList();
        List<Peers.Peer> nodes = new ArrayList<>();
        for (PlatformEvent.Entry entry : state.nodes().items().values()) {
            node(entry).forEach(nodes::add);
        }
        return new PlatformEvent.Listed(backends, nodes);
    }

    private static Try<Peers.Peer> node(PlatformEvent.Entry entry) {
        return Try.of(() -> {
            String[] parts = entry.value().orElse("").split(SEPARATOR);
            NodeId id = new NodeId(entry.key().substring(DirectoryState.NODES_PREFIX.length()));
            return new Peers.Peer(id, Address.parse(parts[1]), new Zone(parts[0]));
        });
    }
}
