package org.fuchsiadeck.node.exchange;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.core.model.RequestId;

/**
 * The exchanges in progress, by request.
 */
public final class Exchanges {
    private final Map<RequestId, Exchange> open = new ConcurrentHashMap<>();
    private final AtomicInteger streams = new AtomicInteger();
    private final int maxStreams;

    /**
     * Creates an empty collection.
     *
     * @param maxStreams most streams in progress
     */
    public Exchanges(int maxStreams) {
        this.maxStreams = maxStreams;
    }

    /** What became of an exchange that was to be added. */
    public enum Added {
        /** It is in progress. */
        YES,
        /** A request with the same id is in progress. */
        SAME_ID,
        /** As many streams as there may be are in progress. */
        TOO_MANY_STREAMS
    }

    /**
     * Adds an exchange.
     *
     * @param exchange the exchange
     * @return whether it is in progress; if not, it must not run
     */
    public Added add(Exchange exchange) {
        boolean stream = exchange.call().stream();
        if (stream && streams.incrementAndGet() > maxStreams) {
            streams.decrementAndGet();
            return Added.TOO_MANY_STREAMS;
        }
        if (open.putIfAbsent(exchange.id(), exchange) == null) {
            return Added.YES;
        }
        if (stream) {
            streams.decrementAndGet();
        }
        return Added.SAME_ID;
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
            if (exchange.call().stream()) {
                streams.decrementAndGet();
            }
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

    /**
     * Returns how many streams are in progress.
     *
     * @return the number
     */
    public int streams() {
        return streams.get();
    }

    /** Reports the streams that wait for their callers as in progress. */
    public void reportWaiting() {
        open.values().forEach(Exchange::reportWaiting);
    }
}
