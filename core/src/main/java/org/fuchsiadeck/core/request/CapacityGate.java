package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntBiFunction;
import java.util.function.UnaryOperator;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.limit.ServiceCapacity;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.limit.SharedCapacity;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.core.routing.Need;
import org.fuchsiadeck.core.routing.PlacementFinder;
import org.fuchsiadeck.core.routing.PlacementFinder.Availability;
import org.fuchsiadeck.core.routing.PlacementFinder.PlacementResult;
import org.fuchsiadeck.core.routing.RoutingContext;
import org.fuchsiadeck.core.routing.SplitMix;
import org.fuchsiadeck.core.share.ShareState;

/**
 * Holds requests back while the servers of their pool are full over all nodes; see {@link SharedCapacity}. Used for
 * routes with shared scheduling only.
 */
final class CapacityGate {
    /** The fleet size up to which every node uses all servers. */
    private static final int MAX_SHARED_SERVERS = 128;

    /** The width of a uniform distribution, in standard deviations. */
    private static final double UNIFORM_RANGE = 2 * Math.sqrt(3);

    /**
     * Fraction of a pool's slots in use from which on the reported count of a server is replaced by a random number. Below
     * it, most servers have free slots, and the numbers would only keep requests from the servers that have read their
     * prompts.
     */
    private static final double CROWDED_USE = 0.7;

    private CapacityGate() {}

    /**
     * Finds a server, unless the pool is full and no release is due. Servers that are full by the reports, if these are
     * recent compared with the attempts, are used only if all are; those that refused a request lately are not used.
     */
    static PlacementResult find(
            RequestReduction reduction, ActiveRequest request, PlacementFinder finder, RoutingContext context) {
        SharedCapacity pool = observe(reduction, request);
        if (isHeld(reduction, request, pool)) {
            PlacementResult found = finder.find(request.wanted(), context);
            return found.availability() == Availability.OPEN
                    ? new PlacementResult(Availability.FULL, Option.none(), Long.MIN_VALUE)
                    : found;
        }
        ServiceCapacity capacity = capacity(reduction, request);
        if (pool.seen().nodes() <= 1) {
            return finder.find(request.wanted(), context);
        }
        ToIntBiFunction<BackendStatus, Integer> limit =
                (s, max) -> capacity.isExcluded(s.backend().id(), reduction.nowMs()) ? 0 : limit(s, max, pool);
        RoutingContext estimated = pool.inUse() < CROWDED_USE
                ? context
                : context.withInFlightElsewhere(b -> estimateElsewhere(b, context, pool));
        PlacementResult found = finder.withLimit((s, max) -> hasRoom(s, estimated) ? limit.applyAsInt(s, max) : 0)
                .find(request.wanted(), estimated);
        return found.choice().isDefined() ? found : finder.withLimit(limit).find(request.wanted(), estimated);
    }

    /**
     * Returns this node's limit at a server. The adaptive limit of a node takes the queueing that other nodes cause for
     * overload by its own attempts, and shrinks until capacity stands idle; a node's part of the server's room, with chance,
     * is always allowed.
     */
    private static int limit(BackendStatus server, int max, SharedCapacity pool) {
        double part =
                SharedCapacity.room(server.backend().slots()) / pool.seen().nodes();
        int least = (int) Math.min(max, Math.ceil(part + 2 * Math.sqrt(part)));
        return Math.max(least, server.limit().maxInFlight(max));
    }

    /**
     * Estimates the other nodes' attempts at a server: a random number around the reported one, drawn for each request.
     * It deviates by the attempts that a server begins within the age of a report. If all nodes compared the reported
     * numbers, all would send to the same servers until the next report.
     */
    private static int estimateElsewhere(Backend backend, RoutingContext context, SharedCapacity pool) {
        int reported = Math.max(0, context.inFlightElsewhere().applyAsInt(backend));
        if (pool.seen().meanMs() <= 0) {
            return reported;
        }
        double begun = SharedCapacity.room(backend.slots())
                * SharedCapacity.REPORT_AGE_MS
                / pool.seen().meanMs();
        double draw = SplitMix.toFraction(
                SplitMix.mix(context.seed() ^ Rendezvous.hash(backend.id().value())));
        return (int) Math.max(0, Math.round(reported + UNIFORM_RANGE * begun * (draw - 0.5)));
    }

    /** Counts a request that was sent while the pool was full as a release. */
    static void onDispatched(RequestReduction reduction, ActiveRequest request) {
        String key = request.need().toString();
        if (capacity(reduction, request).pool(key).isFull()) {
            update(reduction, request, c -> c.with(key, c.pool(key).withDispatch()));
        }
    }

    /** Excludes a server that refused a request, if its capacity is shared with other nodes. */
    static void onRefused(RequestReduction reduction, ActiveRequest request) {
        BackendId id = request.attempt().get().backend().id();
        if (SharedScheduling.isOn(reduction, request.route()) && nodes(reduction) > 1) {
            update(reduction, request, c -> c.withRefusal(id, reduction.nowMs()));
        }
    }

    /** Ends the exclusion of a server that completed a request. */
    static void onCompleted(RequestReduction reduction, ActiveRequest request) {
        BackendId id = request.attempt().get().backend().id();
        if (capacity(reduction, request).refusedUntilMs().containsKey(id)) {
            update(reduction, request, c -> c.withCompletion(id));
        }
    }

    /**
     * Schedules the next review of the queue of a service, unless one is pending that is soon enough: a node whose
     * attempts have all ended would not review it otherwise.
     */
    static void onRequestsWaiting(RequestReduction reduction, String service) {
        ServiceCapacity capacity = reduction.state().capacity(service);
        if (capacity.pools().isEmpty() || !hasWaiting(reduction, service)) {
            return;
        }
        long now = reduction.nowMs();
        long atMs = now + capacity.reviewInMs();
        if (capacity.dueMs() <= now || atMs < capacity.dueMs()) {
            reduction.updateLoad(service, l -> l.with(l.capacity().withDue(atMs)));
            reduction.schedule(atMs, new RequestReducerEvent.CapacityDue(service));
        }
    }

    /** Reviews the queue of a service. */
    static void onDue(RequestReduction reduction, String service) {
        reduction.markServiceReady(service);
    }

    /** Returns the log fields that tell by which count the servers are full; none without shared scheduling. */
    static Map<String, Object> waitInputs(RequestReduction reduction, ActiveRequest request) {
        if (!SharedScheduling.isOn(reduction, request.route())) {
            return Map.of();
        }
        ServiceCapacity capacity = capacity(reduction, request);
        SharedCapacity pool = capacity.pool(request.need().toString());
        long now = reduction.nowMs();
        boolean refused = reduction
                .state()
                .fleet()
                .liveServers(request.need(), now)
                .exists(s -> capacity.isExcluded(s.backend().id(), now));
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("full_by", pool.isFull() ? "all_nodes" : refused ? "refusals" : "own_count");
        fields.put("slots", pool.seen().slots());
        fields.put("busy_here", pool.seen().own());
        fields.put("busy_elsewhere", pool.seen().elsewhere());
        fields.put("waiting_elsewhere", pool.seen().waitingElsewhere());
        return fields;
    }

    /**
     * Returns whether a request is held back. A stream that has started, and a request that is moved from one server to
     * another, are not: they hold capacity already, and their callers see every pause. New requests stay behind queued
     * ones.
     */
    private static boolean isHeld(RequestReduction reduction, ActiveRequest request, SharedCapacity pool) {
        if (!pool.isFull()
                || request.history().relayStarted()
                || request.attempt().isDefined()) {
            return false;
        }
        boolean overtakes = request.ticket().isEmpty()
                && request.history().attempts() == 0
                && hasWaiting(reduction, request.route().service());
        return overtakes || !pool.allowsRelease();
    }

    private static SharedCapacity observe(RequestReduction reduction, ActiveRequest request) {
        String key = request.need().toString();
        SharedCapacity next =
                capacity(reduction, request).pool(key).observed(reduction.nowMs(), seen(reduction, request));
        update(reduction, request, c -> c.with(key, next));
        return next;
    }

    private static SharedCapacity.Seen seen(RequestReduction reduction, ActiveRequest request) {
        long now = reduction.nowMs();
        int nodes = nodes(reduction);
        Fleet fleet = reduction.state().fleet();
        Array<BackendStatus> servers = fleet.liveServers(request.need(), now);
        if (nodes <= 1 || servers.isEmpty()) {
            return SharedCapacity.Seen.NONE;
        }
        ShareState usage = reduction.view().usage();
        int slots = 0;
        double room = 0;
        int own = 0;
        for (BackendStatus server : servers) {
            Backend backend = server.backend();
            slots += backend.slots();
            room += SharedCapacity.room(backend.slots());
            own += server.inFlight();
        }
        int elsewhere =
                usage.inFlightElsewhere(now, servers.map(s -> s.backend().id()).asJava());
        String service = request.route().service();
        ServiceLoad load = reduction.state().loads().getOrElse(service, ServiceLoad.NONE);
        int waiting = reduction.state().queues().get(service).map(q -> q.size()).getOrElse(0);
        double used = usedFraction(fleet, request.need(), servers.size());
        int waitingElsewhere = (int) Math.round(usage.waitingElsewhere(now, service) * used);
        int sharing = (int) Math.max(2, Math.round(nodes * used));
        return new SharedCapacity.Seen(slots, room, own, elsewhere, waiting, waitingElsewhere, sharing, load.meanMs());
    }

    /**
     * Returns the fraction of the servers that this node sends requests to. In a large pool each server is used by a part of
     * the nodes only; about this fraction of the nodes, and of their queued requests, compete with this node's.
     */
    private static double usedFraction(Fleet fleet, Need need, int used) {
        return fleet.servers().size() <= MAX_SHARED_SERVERS
                ? 1
                : Math.min(1, used / (double) Math.max(1, fleet.countListed(need)));
    }

    /** Returns the number of entry nodes; 1 if no other has reported recently. */
    private static int nodes(RequestReduction reduction) {
        ShareState usage = reduction.view().usage();
        int reporting = usage.reportingNodes(reduction.nowMs());
        return reporting > 1 ? Math.max(usage.nodes(), reporting) : 1;
    }

    private static boolean hasRoom(BackendStatus server, RoutingContext context) {
        int elsewhere = context.inFlightElsewhere().applyAsInt(server.backend());
        return server.inFlight() + Math.max(0, elsewhere)
                < SharedCapacity.room(server.backend().slots());
    }

    private static ServiceCapacity capacity(RequestReduction reduction, ActiveRequest request) {
        return reduction.state().capacity(request.route().service());
    }

    private static void update(
            RequestReduction reduction, ActiveRequest request, UnaryOperator<ServiceCapacity> change) {
        reduction.updateLoad(request.route().service(), l -> l.with(change.apply(l.capacity())));
    }

    private static boolean hasWaiting(RequestReduction reduction, String service) {
        return reduction.state().queues().get(service).exists(q -> q.size() > 0);
    }
}
