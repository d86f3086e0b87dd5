package org.fuchsiadeck.node.exchange;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.fuchsiadeck.core.model.RequestId;

/**
 * The exchanges in progress, by request.
 */
public final class Exchanges {
    private final Map<RequestId, Exchange> open = new ConcurrentHashMap<>();

    /**
     * Adds an exchange.
     *
     * @param exchange the exchange
     * @return false if a request with the same id is in progress
     */
    public boolean add(Exchange exchange) {
        return open.putIfAbsent(exchange.id(), exchange) == null;
    }

    /**
     * Finds an exchange.
     *
     * @param id the request
     * @return the exchange, if it is in progress
     */
    public Optional<Exchange> find(RequestId id) {
        return Optional.ofNullable(open.get(id));
    }

    /**
     * Ends an exchange.
     *
     * @param id the request
     */
    public void release(RequestId id) {
        Exchange exchange = open.remove(id);
        if (exchange != null) {
            exchange.release();
        }
    }

    /**
     * Returns how many exchanges are in progress.
     *
     * @return the number
     */
    public int size() {
        return open.size();
    }

    /** Reports the streams that wait for their callers as in progress. */
    public void reportWaiting() {
        open.values().forEach(Exchange::reportWaiting);
    }
}
