package org.fuchsiadeck.core.request;

import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.routing.Departure;

/**
 * Spreads the news that a backend server leaves: a node that learns it tells its peers once, so that a node without an
 * answer of the server sends it nothing more.
 */
final class DepartureGossip {
    private DepartureGossip() {}

    /** Tells the peers of a departure that this node has just learned of. */
    static void broadcast(Turn turn, BackendId id) {
        Optional<Departure> departure = turn.state().fleet().departure(id);
        long leftMs = departure
                .filter(Departure::noticed)
                .map(d -> Math.max(0, d.byMs() - turn.nowMs()))
                .orElse(LeavingBackend.UNKNOWN);
        LeavingBackend news = new LeavingBackend(id, leftMs);
        String key = turn.view().self().id() + "/leaving/" + id;
        for (NodeId peer : turn.view().peers().fanOut(key)) {
            turn.effect(new Effect.Send(peer, news));
        }
    }

    /** Takes a peer's word. */
    static void received(Turn turn, LeavingBackend news) {
        BackendId id = news.backend();
        boolean noticed = news.leftMs() != LeavingBackend.UNKNOWN;
        Optional<Departure> known = turn.state().fleet().departure(id);
        if (known.isPresent() && (!noticed || known.get().noticed())) {
            return;
        }
        long now = turn.nowMs();
        turn.fleet(f -> noticed ? f.noticed(id, now, news.leftMs()) : f.heard(id, now));
        if (turn.state().fleet().servers().containsKey(id)) {
            turn.log(EventCode.BACKEND_LEAVING, id + " by another node's word");
            turn.leaving(id);
        }
    }
}
