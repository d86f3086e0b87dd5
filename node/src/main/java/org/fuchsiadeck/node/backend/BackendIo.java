package org.fuchsiadeck.node.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.node.client.HttpConnection;
import org.fuchsiadeck.node.run.EffectHandler;
import org.fuchsiadeck.node.run.EventSink;

/**
 * What all attempts share.
 */
final class BackendIo {
    private static final long END_WAIT_MS = 1_000;

    private final BackendProtocol protocol;
    private final EventSink events;
    private final EffectHandler<Effect.Log> log;
    private final MetricRegistry metrics;
    private final int maxAnswerBytes;
    private final ConnectionPool pool = new ConnectionPool();
    private final Map<HttpConnection, Boolean> ending = new ConcurrentHashMap<>();

    BackendIo(
            BackendProtocol protocol,
            EventSink events,
            EffectHandler<Effect.Log> log,
            MetricRegistry metrics,
            int maxAnswerBytes) {
        this.protocol = protocol;
        this.events = events;
        this.log = log;
        this.metrics = metrics;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    BackendProtocol protocol() {
        return protocol;
    }

    EventSink events() {
        return events;
    }

    ConnectionPool pool() {
        return pool;
    }

    int maxAnswerBytes() {
        return maxAnswerBytes;
    }

    /** Keeps a connection whose answer is whole, once it is certain that no bytes follow. */
    void keep(HttpConnection connection) {
        ending.remove(connection);
        connection.runAfterReads(() -> pool.put(connection));
    }

    /** Gives back a connection that was not used. */
    void release(HttpConnection connection) {
        pool.put(connection);
    }

    /** Waits a short while for the end of a body whose last event came. */
    void expectEnd(HttpConnection connection) {
        ending.put(connection, true);
    }

    void closed(HttpConnection connection) {
        ending.remove(connection);
        pool.remove(connection);
    }

    void failed(Failure.Kind kind) {
        metrics.counter("backend.failed." + kind.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
    }

    /** Counts and logs an answer that is of another request. */
    void stale(RequestEffect.Dispatch dispatch, String detail) {
        stale(dispatch.backend().address().toString(), detail);
    }

    void stale(String peer, String detail) {
        metrics.counter("backend.stale_answers").inc();
        log.handle(new Effect.Log(EventCode.STALE_ANSWER, peer + " " + detail));
    }

    /** Logs what a server says of itself that can't be read. */
    void unreadable(RequestEffect.Dispatch dispatch, String text) {
        log.handle(new Effect.Log(
                EventCode.BACKEND_BAD_PAUSE,
                "",
                Map.of("server", dispatch.backend().id(), "request", dispatch.id(), "seen", text)));
    }

    void sweep(ToLongFunction<Address> maxAgeMs) {
        pool.sweep(maxAgeMs);
        ending.keySet().stream().filter(c -> c.sinceLastReadMs() > END_WAIT_MS).forEach(HttpConnection::close);
    }
}
