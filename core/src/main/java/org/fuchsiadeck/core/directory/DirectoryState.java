package org.fuchsiadeck.core.directory;

import java.util.List;
import java.util.Optional;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.platform.LeasedKey;
import org.fuchsiadeck.core.platform.WatchedKeys;

import static java.util.Objects.requireNonNull;

/**
 * The backend servers and entry nodes that are registered in the platform's service, as this node has read them, and its
 * own registration.
 *
 * @param servers the servers' entries
 * @param nodes the entry nodes' entries
 * @param registration this node's own entry
 * @param decoded the servers whose entries could be parsed, by key
 * @param held servers whose entries were missing after an outage of the service, by key, with the time until which they
 *     stay listed and may register again, in milliseconds
 * @param returnedMs when the service answered again after the last outage, in milliseconds; negative if there was none
 * @param served whether the service answers this node, and has done so for longer than servers take to register again
 * @param history the latest departures of servers
 * @param queries the queries for departures to other nodes
 */
public record DirectoryState(
        WatchedKeys servers,
        WatchedKeys nodes,
        Optional<LeasedKey> registration,
        Map<String, RegisteredBackend> decoded,
        Map<String, Long> held,
        long returnedMs,
        boolean served,
        DepartureHistory history,
        DepartureQueries queries) {
    /** Wait of the first watch of the servers, before the size of the fleet is known. */
    private static final long FIRST_WAIT_MS = 2_000;

    /** Wait of a watch of the nodes. Nodes also learn of each other by gossip, so a broken connection does no harm. */
    private static final long NODES_WAIT_MS = 30_000;

    /** Prefix of the keys of backend servers. */
    public static final String SERVERS_PREFIX = "servers/";

    /** Prefix of the keys of entry nodes. */
    public static final String NODES_PREFIX = "nodes/";

    public DirectoryState {
        requireNonNull(servers, "servers");
        requireNonNull(nodes, "nodes");
        requireNonNull(registration, "registration");
        requireNonNull(decoded, "decoded");
        requireNonNull(held, "held");
        requireNonNull(history, "history");
        requireNonNull(queries, "queries");
    }

    /**
     * A backend server whose entry could be parsed.
     *
     * @param revision the revision of the entry
     * @param backend the server
     * @param noticeMs how long the server still runs, in milliseconds, as its entry states; negative if it states no time
     */
    record RegisteredBackend(long revision, Backend backend, long noticeMs) {
        RegisteredBackend {
            requireNonNull(backend, "backend");
        }
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static DirectoryState initial() {
        return new DirectoryState(
                WatchedKeys.of(SERVERS_PREFIX, FIRST_WAIT_MS),
                WatchedKeys.of(NODES_PREFIX, NODES_WAIT_MS),
                Optional.empty(),
                HashMap.empty(),
                HashMap.empty(),
                -1,
                false,
                DepartureHistory.EMPTY,
                DepartureQueries.NONE);
    }

    /**
     * Returns the reasons why the node is not ready to serve.
     *
     * @return the reasons; empty if it is ready
     */
    public List<String> unready() {
        return servers.known() ? List.of() : List.of("the list of backend servers has not been read yet");
    }

    DirectoryState withServers(WatchedKeys next) {
        return new DirectoryState(next, nodes, registration, decoded, held, returnedMs, served, history, queries);
    }

    DirectoryState withNodes(WatchedKeys next) {
        return new DirectoryState(servers, next, registration, decoded, held, returnedMs, served, history, queries);
    }

    DirectoryState with(LeasedKey newRegistration) {
        return new DirectoryState(
                servers, nodes, Optional.of(newRegistration), decoded, held, returnedMs, served, history, queries);
    }

    DirectoryState with(Map<String, RegisteredBackend> newDecoded, Map<String, Long> newHeld) {
        return new DirectoryState(
                servers, nodes, registration, newDecoded, newHeld, returnedMs, served, history, queries);
    }

    DirectoryState with(DepartureHistory newHistory) {
        return newHistory == history
                ? this
                : new DirectoryState(
                        servers, nodes, registration, decoded, held, returnedMs, served, newHistory, queries);
    }

    DirectoryState with(DepartureQueries newQueries) {
        return new DirectoryState(servers, nodes, registration, decoded, held, returnedMs, served, history, newQueries);
    }

    DirectoryState served(boolean newServed) {
        return newServed == served
                ? this
                : new DirectoryState(
                        servers, nodes, registration, decoded, held, returnedMs, newServed, history, queries);
    }

    DirectoryState withServiceReturn(long nowMs) {
        return new DirectoryState(servers, nodes, registration, decoded, held, nowMs, false, history, queries);
    }
}
