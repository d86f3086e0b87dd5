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
 * What a node knows of the servers and nodes that are registered in the platform's service.
 *
 * @param servers the servers' entries
 * @param nodes the entry nodes' entries
 * @param registration this node's own entry
 * @param decoded the servers whose entries could be read, by key
 * @param held servers whose entries were missing when the service came back, with the time until which they may still
 *     return, in milliseconds
 * @param returnedMs when the service answered again after an outage, in milliseconds; negative if it never was away
 * @param served whether the service serves this node, and has done so for longer than lapsed entries take to return
 */
public record DirectoryState(
        WatchedKeys servers,
        WatchedKeys nodes,
        Optional<LeasedKey> registration,
        Map<String, RegisteredBackend> decoded,
        Map<String, Long> held,
        long returnedMs,
        boolean served) {
    /** Wait of the first watch, before the size of the fleet is known. */
    private static final long FIRST_WAIT_MS = 2_000;

    /** Nodes learn of each other by their own messages too, so a silent connection does no harm. */
    private static final long NODES_WAIT_MS = 30_000;

    /** The keys of backend servers. */
    public static final String SERVERS_PREFIX = "servers/";

    /** The keys of entry nodes. */
    public static final String NODES_PREFIX = "nodes/";

    public DirectoryState {
        requireNonNull(servers, "servers");
        requireNonNull(nodes, "nodes");
        requireNonNull(registration, "registration");
        requireNonNull(decoded, "decoded");
        requireNonNull(held, "held");
    }

    /**
     * A server's entry that could be read.
     *
     * @param revision the revision of the entry
     * @param backend the server
     * @param noticeMs how long the server still runs, as it said; negative if it did not
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
                false);
    }

    /**
     * Returns why the node can't serve yet.
     *
     * @return the reasons; empty if there are none
     */
    public List<String> unready() {
        return servers.known() ? List.of() : List.of("the list of backend servers was not read yet");
    }

    DirectoryState withServers(WatchedKeys next) {
        return new DirectoryState(next, nodes, registration, decoded, held, returnedMs, served);
    }

    DirectoryState withNodes(WatchedKeys next) {
        return new DirectoryState(servers, next, registration, decoded, held, returnedMs, served);
    }

    DirectoryState with(LeasedKey own) {
        return new DirectoryState(servers, nodes, Optional.of(own), decoded, held, returnedMs, served);
    }

    DirectoryState with(Map<String, RegisteredBackend> known, Map<String, Long> missing) {
        return new DirectoryState(servers, nodes, registration, known, missing, returnedMs, served);
    }

    DirectoryState served(boolean now) {
        return now == served ? this : new DirectoryState(servers, nodes, registration, decoded, held, returnedMs, now);
    }

    DirectoryState withServiceReturn(long nowMs) {
        return new DirectoryState(servers, nodes, registration, decoded, held, nowMs, false);
    }
}
