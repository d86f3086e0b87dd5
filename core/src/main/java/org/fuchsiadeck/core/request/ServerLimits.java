package org.fuchsiadeck.core.request;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import io.vavr.collection.Array;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.core.routing.ServerLimit;

/**
 * Holds all nodes together to the rates of requests that backend servers name in their answers. The nodes tell each other
 * of the limits; for each limited server one node, its home, grants the sends.
 */
final class ServerLimits {
    /** Time between two reviews of a limit, in which its home tells other nodes of it again, in milliseconds. */
    private static final long REVIEW_MS = 1_000;

    /** Time after which an unanswered query is repeated, in milliseconds. */
    private static final long QUERY_TIMEOUT_MS = 250;

    private static final double MS_PER_SECOND = 1_000;

    private ServerLimits() {}

    /** Applies what an answer to an attempt says of the server's limit. */
    static void onAnswer(RequestReduction reduction, Attempt attempt, OptionalDouble named, boolean success) {
        BackendId id = attempt.backend().id();
        Option<ServerLimit> known = reduction.state().fleet().limits().get(id);
        if (named.isPresent()) {
            change(reduction, id, named.getAsDouble(), true, reduction.nowMs());
        } else if (success && known.exists(l -> l.active() && attempt.dispatchedMs() > l.changedMs())) {
            change(reduction, id, known.get().perSecond(), false, reduction.nowMs());
        }
    }

    /** Handles a message of another node. */
    static void onMessage(RequestReduction reduction, NodeId from, ServerLimitMessage message) {
        BackendId id = message.backend();
        long now = reduction.nowMs();
        if (message instanceof ServerLimitMessage.Changed changed) {
            change(reduction, id, changed.perSecond(), changed.active(), now - changed.ageMs());
        } else if (message instanceof ServerLimitMessage.Query query) {
            change(reduction, id, query.perSecond(), true, now - query.ageMs());
            grant(reduction, from, query);
        } else if (message instanceof ServerLimitMessage.Grant grant) {
            reduction.updateFleet(f -> f.updateLimit(id, l -> l.withGrant(grant.count(), grant.waitMs(), now)));
            scheduleDue(reduction, id, now + grant.waitMs());
        }
    }

    /** Determines the homes of all limits anew. */
    static void onPeersChanged(RequestReduction reduction) {
        reduction.state().fleet().limits().keySet().forEach(id -> assignHome(reduction, id));
    }

    /** Reviews a limit once a second, for as long as it is in force. */
    static void onReviewDue(RequestReduction reduction, BackendId id) {
        Option<ServerLimit> limit = reduction.state().fleet().limits().get(id);
        if (!limit.exists(ServerLimit::active)) {
            return;
        }
        assignHome(reduction, id);
        if (limit.get().budget().home()) {
            announce(reduction, id, limit.get(), reduction.nowMs() / REVIEW_MS);
        }
        scheduleReview(reduction, id);
    }

    /** Asks for sends, or waits for them, if requests of a service wait and its servers have limits. */
    static void onRequestsWaiting(RequestReduction reduction, String service, int waiting) {
        if (waiting == 0) {
            return;
        }
        long now = reduction.nowMs();
        Fleet fleet = reduction.state().fleet();
        for (BackendId id : fleet.limits().keySet()) {
            ServerLimit limit = fleet.limits().get(id).get();
            boolean serves = fleet.servers()
                    .get(id)
                    .exists(s -> s.listed() && s.backend().service().equals(service));
            if (!serves || !limit.active() || fleet.departure(id).isPresent() || limit.allowsSend(now)) {
                continue;
            }
            if (limit.budget().home()) {
                scheduleDue(reduction, id, limit.nextMs(now));
            } else if (now >= limit.grant().retryMs()) {
                query(reduction, id, limit, waiting);
            }
        }
    }

    /**
     * Returns the earliest time at which a waiting request can be sent, in milliseconds, if all servers that may take it have
     * limits; otherwise a past time.
     */
    static long earliestSendMs(RequestReduction reduction, ActiveRequest request, int ahead) {
        Array<ServerLimit> limits = reduction.state().fleet().commonLimits(request.need());
        if (limits.isEmpty()) {
            return Long.MIN_VALUE;
        }
        long now = reduction.nowMs();
        long first = limits.map(l -> l.nextMs(now)).min().get();
        double perSecond = limits.map(ServerLimit::perSecond).sum().doubleValue();
        double queueMs = ahead == 0 ? 0 : ahead * MS_PER_SECOND / Math.max(perSecond, Double.MIN_NORMAL);
        return first + (long) Math.min(queueMs, Integer.MAX_VALUE);
    }

    private static void change(RequestReduction reduction, BackendId id, double perSecond, boolean active, long atMs) {
        Option<ServerLimit> known = reduction.state().fleet().limits().get(id);
        boolean older = known.exists(l -> l.changedMs() >= atMs);
        if (older || known.isEmpty() && !active) {
            return;
        }
        reduction.updateFleet(f -> f.withLimit(id, perSecond, active, atMs));
        boolean wasActive = known.exists(ServerLimit::active);
        if (active == wasActive && known.exists(l -> l.perSecond() == perSecond)) {
            return;
        }
        assignHome(reduction, id);
        EventCode code = active ? EventCode.BACKEND_LIMITED : EventCode.BACKEND_LIMIT_ENDED;
        reduction.log(code, Map.of("server", id, "per_s", perSecond));
        announce(reduction, id, reduction.state().fleet().limits().get(id).get(), atMs);
        if (active && !wasActive) {
            scheduleReview(reduction, id);
        }
        reduction
                .state()
                .fleet()
                .servers()
                .get(id)
                .forEach(s -> reduction.markServiceReady(s.backend().service()));
    }

    private static void announce(RequestReduction reduction, BackendId id, ServerLimit limit, long round) {
        long ageMs = Math.max(0, reduction.nowMs() - limit.changedMs());
        ServerLimitMessage news = new ServerLimitMessage.Changed(id, limit.perSecond(), limit.active(), ageMs);
        String key = reduction.view().self().id() + "/limit/" + id + "/" + round;
        for (NodeId peer : reduction.view().peers().gossipTargets(key)) {
            reduction.emit(new Effect.Send(peer, news));
        }
    }

    private static void assignHome(RequestReduction reduction, BackendId id) {
        Peers peers = reduction.view().peers();
        NodeId self = reduction.view().self().id();
        int reached = peers.alive().size() + 1;
        double share =
                reached / (double) Math.max(reached, reduction.view().usage().nodes());
        boolean home = peers.firstFor(id.value(), self).equals(self);
        reduction.updateFleet(f -> f.updateLimit(id, l -> l.withRole(home, share, reduction.nowMs())));
    }

    private static void grant(RequestReduction reduction, NodeId from, ServerLimitMessage.Query query) {
        BackendId id = query.backend();
        Optional<ServerLimit> limit = reduction.state().fleet().limits().get(id).toJavaOptional();
        if (limit.filter(l -> l.active() && l.budget().home()).isEmpty()) {
            return;
        }
        ServerLimit.Granted granted = limit.get().grant(query.wanted(), reduction.nowMs());
        reduction.updateFleet(f -> f.updateLimit(id, l -> granted.next()));
        reduction.emit(new Effect.Send(from, new ServerLimitMessage.Grant(id, granted.count(), granted.waitMs())));
    }

    private static void query(RequestReduction reduction, BackendId id, ServerLimit limit, int waiting) {
        long now = reduction.nowMs();
        NodeId self = reduction.view().self().id();
        NodeId home = reduction.view().peers().firstFor(id.value(), self);
        int wanted = Math.min(waiting, ServerLimitMessage.MAX_WANTED);
        long ageMs = Math.max(0, now - limit.changedMs());
        reduction.emit(new Effect.Send(home, new ServerLimitMessage.Query(id, limit.perSecond(), ageMs, wanted)));
        reduction.updateFleet(f -> f.updateLimit(id, l -> l.withQuery(now + QUERY_TIMEOUT_MS)));
        scheduleDue(reduction, id, now + QUERY_TIMEOUT_MS);
    }

    /** Reviews the waiting requests at a time, unless they are reviewed before; one review per server is pending. */
    private static void scheduleDue(RequestReduction reduction, BackendId id, long atMs) {
        long now = reduction.nowMs();
        if (reduction.state().fleet().limits().get(id).exists(l -> l.dueMs() > now && l.dueMs() <= atMs)) {
            return;
        }
        if (atMs > now) {
            reduction.updateFleet(f -> f.updateLimit(id, l -> l.withDue(atMs)));
            reduction.schedule(atMs, new RequestReducerEvent.ServerDue(id));
            return;
        }
        Option<Backend> backend = reduction.state().fleet().servers().get(id).map(BackendStatus::backend);
        backend.forEach(b -> reduction.markServiceReady(b.service()));
    }

    private static void scheduleReview(RequestReduction reduction, BackendId id) {
        reduction.schedule(reduction.nowMs() + REVIEW_MS, new RequestReducerEvent.LimitReviewDue(id));
    }
}
