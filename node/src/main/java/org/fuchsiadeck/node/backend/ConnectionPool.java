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
 * Idle connections to backend servers, by address. The one that answered last is taken first.
 */
final class ConnectionPool {
    private static final int MAX_IDLE_PER_ADDRESS = 64;

    private final Map<Address, Deque<HttpConnection>> idle = new HashMap<>();

    /**
     * Takes a connection.
     *
     * @param address the server
     * @param freshMs the connection must have answered within this time, in milliseconds
     * @param maxAgeMs the connection must not be older, in milliseconds
     * @return the connection, if one fits
     */
    Optional<HttpConnection> take(Address address, long freshMs, long maxAgeMs) {
        List<HttpConnection> unfit = new ArrayList<>();
        Optional<HttpConnection> found = find(address, freshMs, maxAgeMs, unfit);
        unfit.forEach(HttpConnection::close);
        return found;
    }

    private synchronized Optional<HttpConnection> find(
            Address address, long freshMs, long maxAgeMs, List<HttpConnection> unfit) {
        Deque<HttpConnection> kept = idle.get(address);
        if (kept == null || freshMs <= 0) {
            return Optional.empty();
        }
        while (!kept.isEmpty()) {
            HttpConnection next = kept.peek();
            if (next.isReusable() && next.ageMs() < maxAgeMs) {
                return next.sinceLastReadMs() < freshMs ? Optional.of(kept.pop()) : Optional.empty();
            }
            unfit.add(kept.pop());
        }
        return Optional.empty();
    }

    /**
     * Keeps a connection whose answer is whole.
     *
     * @param connection the connection
     */
    void put(HttpConnection connection) {
        if (!connection.isReusable() || !keep(connection)) {
            connection.close();
        }
    }

    private synchronized boolean keep(HttpConnection connection) {
        Deque<HttpConnection> kept = idle.computeIfAbsent(connection.peer(), a -> new ArrayDeque<>());
        if (kept.size() >= MAX_IDLE_PER_ADDRESS) {
            return false;
        }
        kept.push(connection);
        return true;
    }

    /**
     * Forgets a connection that has closed.
     *
     * @param connection the connection
     */
    synchronized void remove(HttpConnection connection) {
        Deque<HttpConnection> kept = idle.get(connection.peer());
        if (kept != null && kept.remove(connection) && kept.isEmpty()) {
            idle.remove(connection.peer());
        }
    }

    /**
     * Closes connections that are too old or were idle for as long.
     *
     * @param maxAgeMs gives the greatest age of a connection to a server, in milliseconds
     */
    void sweep(ToLongFunction<Address> maxAgeMs) {
        List<HttpConnection> old = new ArrayList<>();
        synchronized (this) {
            idle.forEach((address, kept) -> {
                long max = maxAgeMs.applyAsLong(address);
                kept.stream().filter(c -> c.ageMs() >= max).forEach(old::add);
            });
        }
        old.forEach(this::remove);
        old.forEach(HttpConnection::close);
    }

    /**
     * Returns the servers to which connections are kept.
     *
     * @return their addresses
     */
    synchronized Set<Address> addresses() {
        return Set.copyOf(idle.keySet());
    }

    /**
     * Counts the idle connections.
     *
     * @return their number, by address
     */
    synchronized Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        idle.forEach((address, kept) -> counts.put(address.toString(), kept.size()));
        return counts;
    }
}
