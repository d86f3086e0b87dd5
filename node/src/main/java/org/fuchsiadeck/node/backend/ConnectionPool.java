package org.fuchsiadeck.node.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.client.HttpConnection;

/**
 * Holds idle connections to backend servers, by address. The most recently returned connection is reused first.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 64;

    private final Map<Address, Deque<HttpConnection>> idle = new HashMap<>();

    /**
     * Removes and returns a reusable connection.
     *
     * @param address the address of the server
     * @param maxIdleMs the time since the last received bytes must be shorter than this, in milliseconds; 0 to reuse none
     * @param maxAgeMs the age of the connection must be less than this, in milliseconds
     * @return the connection; empty if none qualifies
     */
    Optional<HttpConnection> take(Address address, long maxIdleMs, long maxAgeMs) {
        List<HttpConnection> unusable = new ArrayList<>();
        Optional<HttpConnection> found = find(address, maxIdleMs, maxAgeMs, unusable);
        unusable.forEach(HttpConnection::close);
        return found;
    }

    private synchronized Optional<HttpConnection> find(
            Address address, long maxIdleMs, long maxAgeMs, List<HttpConnection> unusable) {
        Deque<HttpConnection> connections = idle.get(address);
        if (connections == null || maxIdleMs <= 0) {
            return Optional.empty();
        }
        while (!connections.isEmpty()) {
            HttpConnection next = connections.peek();
            if (next.isReusable() && next.ageMs() < maxAgeMs) {
                return next.sinceLastReadMs() < maxIdleMs ? Optional.of(connections.pop()) : Optional.empty();
            }
            unusable.add(connections.pop());
        }
        return Optional.empty();
    }

    /**
     * Adds a connection, or closes it if it is not reusable or the pool for its address is full.
     *
     * @param connection the connection
     */
    void put(HttpConnection connection) {
        if (!connection.isReusable() || !add(connection)) {
            connection.close();
        }
    }

    private synchronized boolean add(HttpConnection connection) {
        Deque<HttpConnection> connections = idle.computeIfAbsent(connection.peer(), a -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE_PER_ADDRESS) {
            return false;
        }
        connections.push(connection);
        return true;
    }

    /**
     * Removes a closed connection.
     *
     * @param connection the connection
     */
    synchronized void remove(HttpConnection connection) {
        Deque<HttpConnection> connections = idle.get(connection.peer());
        if (connections != null && connections.remove(connection) && connections.isEmpty()) {
            idle.remove(connection.peer());
        }
    }

    /**
     * Closes idle connections that have reached their maximum age.
     *
     * @param maxAgeMs returns the maximum age of connections to an address, in milliseconds
     */
    void closeExpired(ToLongFunction<Address> maxAgeMs) {
        List<HttpConnection> expired = new ArrayList<>();
        synchronized (this) {
            idle.forEach((address, connections) -> {
                long limitMs = maxAgeMs.applyAsLong(address);
                connections.stream().filter(c -> c.ageMs() >= limitMs).forEach(expired::add);
            });
        }
        expired.forEach(this::remove);
        expired.forEach(HttpConnection::close);
    }

    /**
     * Returns the addresses with idle connections.
     *
     * @return the addresses
     */
    synchronized Set<Address> addresses() {
        return Set.copyOf(idle.keySet());
    }

    /**
     * Returns the number of idle connections to each server.
     *
     * @return the number of idle connections, by address
     */
    synchronized Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        idle.forEach((address, connections) -> counts.put(address.toString(), connections.size()));
        return counts;
    }
}
