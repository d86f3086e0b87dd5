package org.fuchsiadeck.core.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.collection.Set;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.NodeId;

/**
 * Exchanges departures of backend servers with other nodes: notifications of removals, and queries.
 */
final class DepartureExchange {
    private DepartureExchange() {}

    /** Asks a peer for departures. A node that polls the service often asks only once its own calls are not answered. */
    static DirectoryState queryPeer(DirectoryState state, View view, List<Effect> out) {
        boolean pollsOften = state.servers().waitMs() == DirectoryReducer.SERVERS_WAIT_MS;
        long minAgeMs = pollsOften
                ? DirectoryReducer.SERVERS_WAIT_MS + DepartureQueries.INTERVAL_MS
                : DepartureQueries.INTERVAL_MS;
        if (!state.history().isStarted() || state.history().ageMs(view.nowMs()) < minAgeMs) {
            return state;
        }
        Optional<DepartureQueries.Update> query = state.queries().next(view.self(), view.peers(), view.nowMs());
        if (query.isEmpty()) {
            return state;
        }
        long number = query.get().next().number();
        long revision = state.history().revision();
        out.add(new Effect.Send(query.get().peer(), new DirectoryMessage.Query(number, revision)));
        return state.with(query.get().next());
    }

    /** Answers the query of a peer. */
    static Step<DirectoryState> onQuery(DirectoryState state, View view, NodeId from, DirectoryMessage.Query query) {
        return state.history().isStarted()
                ? new Step<>(
                        state, List.of(new Effect.Send(from, state.history().answer(query, view.nowMs()))))
                : Step.of(state);
    }

    /**
     * Notifies some peers of the removed servers that this node has just stopped using, which it does once for each. Servers that
     * announce their leaving are made known by {@link org.fuchsiadeck.core.request.LeavingBackend}.
     */
    static void notifyPeers(DirectoryState before, DirectoryState after, View view, List<Effect> out) {
        List<DirectoryMessage.DepartedBackend> removed = before.decoded()
                .keySet()
                .filter(k -> !after.decoded().containsKey(k))
                .toList()
                .flatMap(after.history().byKey()::get)
                .filter(DirectoryMessage.DepartedBackend::removed)
                .toJavaList();
        if (removed.isEmpty()) {
            return;
        }
        long revision = after.history().revision();
        DirectoryMessage.Departures message = new DirectoryMessage.Departures(
                DirectoryMessage.Departures.UNASKED,
                revision,
                revision,
                after.history().ageMs(view.nowMs()),
                removed);
        String key = view.self().id() + "/removed/" + removed.get(0).key();
        for (NodeId peer : view.peers().gossipTargets(key)) {
            out.add(new Effect.Send(peer, message));
        }
    }

    /**
     * Adds what an answer of the service shows. While missing servers may still register again, the history does not move
     * on, since peers would take them for departed.
     */
    static DirectoryState withAnsweredHistory(DirectoryState before, DirectoryState next, long nowMs) {
        long revision = next.servers().position().getAsLong();
        if (!before.servers().known()) {
            return next.with(next.history().startedAt(revision));
        }
        List<DirectoryMessage.DepartedBackend> departed = new ArrayList<>(
                removals(before.decoded().keySet().filter(k -> !next.decoded().containsKey(k)), next));
        next.decoded().forEach((key, server) -> {
            boolean known = before.decoded().get(key).exists(s -> s.revision() == server.revision());
            if (server.backend().leaving() && !known) {
                departed.add(new DirectoryMessage.DepartedBackend(key, server.revision(), false));
            }
        });
        DepartureHistory history = next.held().isEmpty()
                ? next.history().withAnswer(departed, revision, nowMs)
                : next.history().withDeparted(departed);
        return next.with(history);
    }

    /** Returns the removal of servers as of this node's own reads, since they may register again after it. */
    static List<DirectoryMessage.DepartedBackend> removals(Set<String> keys, DirectoryState state) {
        long revision =
                Math.max(1, state.servers().position().orElse(state.servers().newest()));
        return keys.toJavaList().stream()
                .map(k -> new DirectoryMessage.DepartedBackend(k, revision, true))
                .toList();
    }
}
