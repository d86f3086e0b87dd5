package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.routing.Departure;

/**
 * Gossips about leaving backend servers. A node that learns of a departure notifies its peers once, so that nodes that
 * get no answer from the server also stop sending requests to it.
 */
final class DepartureGossip {
    private DepartureGossip() {}

    /** Notifies the peers of a departure that this node has just learned of. */
    static void broadcast(RequestReduction reduction, BackendId id) {
        Optional<Departure> departure = reduction.state().fleet().departure(id);
        long leftMs = departure
                .filter(Departure::noticed)
                .map(d -> Math.max(0, d.byMs() - reduction.nowMs()))
                .orElse(LeavingBackend.UNKNOWN);
        LeavingBackend message = new LeavingBackend(id, leftMs);
        String key = reduction.view().self().id() + "/leaving/" + id;
        for (NodeId peer : reduction.view().peers().gossipTargets(key)) {
            reduction.emit(new Effect.Send(peer, message));
        }
    }

    /**
     * Applies a peer's notification. For a known departure, only a reclaim notice where none was known is applied.
     */
    static void onLeavingBackend(RequestReduction reduction, LeavingBackend message) {
        BackendId id = message.backend();
        boolean noticed = message.remainingMs() != LeavingBackend.UNKNOWN;
        Optional<Departure> known = reduction.state().fleet().departure(id);
        if (known.isPresent() && (!noticed || known.get().noticed())) {
            return;
        }
        long now = reduction.nowMs();
        reduction.updateFleet(
                f -> noticed ? f.withReclaimNotice(id, now, message.remainingMs()) : f.withPeerDeparture(id, now));
        if (reduction.state().fleet().servers().containsKey(id)) {
            reduction.log(EventCode.BACKEND_LEAVING, id + " reported by another node");
            reduction.markLeaving(id);
        }
    }
}
