package org.fuchsiadeck.node.backend;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.client.HttpConnection;
import org.fuchsiadeck.node.run.EffectHandler;
import org.fuchsiadeck.node.run.EventSink;

/**
 * Protocol, event sink, connection pool, log and metrics shared by all attempts.
 */
final class AttemptResources {
    /** Time without received bytes after which a connection that waits for the end of a body is closed. */
    private static final long END_WAIT_MS = 1_000;

    /** Least time between log lines of invalid load headers, which may come with every answer, in milliseconds. */
    private static final long INVALID_LOAD_LOG_MS = 10_000;

    /** Longest part of an invalid header that is logged, in characters. */
    private static final int MAX_LOGGED_CHARS = 64;

    private final BackendProtocol protocol;
    private final EventSink events;
    private final EffectHandler<Effect.Log> log;
    private final MetricRegistry metrics;
    private final int maxAnswerBytes;
    private final Predicate<BackendId> departed;
    private final Histogram writeWaits;
    private final Counter invalidLoads;
    private final AtomicLong invalidLoadLogDueMs = new AtomicLong(Long.MIN_VALUE);
    private final ConnectionPool pool = new ConnectionPool();
    private final Map<HttpConnection, Boolean> awaitingEnd = new ConcurrentHashMap<>();

    AttemptResources(
            BackendProtocol protocol,
            EventSink events,
            EffectHandler<Effect.Log> log,
            MetricRegistry metrics,
            int maxAnswerBytes,
            Predicate<BackendId> departed) {
        this.departed = departed;
        this.invalidLoads = metrics.counter("backend.invalid_loads");
        this.writeWaits = metrics.histogram("backend.write_wait_ms");
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

    /** Returns whether a server has left since it was chosen for an attempt. */
    boolean hasDeparted(BackendId id) {
        return departed.test(id);
    }

    /** Records the time from the choice of a server to the first byte of the request, in milliseconds. */
    void recordWriteWait(long ms) {
        writeWaits.update(ms);
    }

    int maxAnswerBytes() {
        return maxAnswerBytes;
    }

    /** Returns a connection to the pool after the current read, which shows whether bytes follow the complete answer. */
    void returnAfterRead(HttpConnection connection) {
        awaitingEnd.remove(connection);
        connection.runAfterReads(() -> pool.put(connection));
    }

    /** Returns an unused connection to the pool. */
    void returnUnused(HttpConnection connection) {
        pool.put(connection);
    }

    /**
     * Waits for the end of a body whose last event has been received. The connection is closed after {@link #END_WAIT_MS}
     * without received bytes.
     */
    void awaitEnd(HttpConnection connection) {
        awaitingEnd.put(connection, true);
    }

    void onClosed(HttpConnection connection) {
        awaitingEnd.remove(connection);
        pool.remove(connection);
    }

    void countFailure(Failure.Kind kind) {
        metrics.counter("backend.failed." + kind.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
    }

    /** Counts and logs an answer that belongs to another request. */
    void logStaleAnswer(RequestEffect.Dispatch dispatch, String detail) {
        logStaleAnswer(dispatch.backend().address().toString(), detail);
    }

    void logStaleAnswer(String peer, String detail) {
        metrics.counter("backend.stale_answers").inc();
        log.handle(new Effect.Log(EventCode.STALE_ANSWER, peer + " " + detail));
    }

    /** Counts a load header that is invalid in part, and logs one at most every {@link #INVALID_LOAD_LOG_MS}. */
    void countInvalidLoad(RequestEffect.Dispatch dispatch, String text) {
        invalidLoads.inc();
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        long due = invalidLoadLogDueMs.get();
        if (now >= due && invalidLoadLogDueMs.compareAndSet(due, now + INVALID_LOAD_LOG_MS)) {
            log.handle(new Effect.Log(
                    EventCode.BACKEND_BAD_LOAD,
                    "",
                    Map.of(
                            "server",
                            dispatch.backend().id(),
                            "seen",
                            text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS)),
                            "total",
                            invalidLoads.getCount())));
        }
    }

    /** Counts and logs a request that is not sent because its caller has left, and reports the caller as gone. */
    void reportNotSent(RequestEffect.Dispatch dispatch) {
        metrics.counter("backend.not_sent").inc();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", dispatch.id());
        fields.put("server", dispatch.backend().id());
        fields.put("attempt", dispatch.attempt());
        log.handle(new Effect.Log(EventCode.REQUEST_NOT_SENT, "", fields));
        events.post(new RequestEvent.CallerGone(dispatch.id(), true));
    }

    /** Logs a pause or limit that could not be parsed. */
    void logInvalidReport(RequestEffect.Dispatch dispatch, String text) {
        log.handle(new Effect.Log(
                EventCode.BACKEND_BAD_PAUSE,
                "",
                Map.of("server", dispatch.backend().id(), "request", dispatch.id(), "seen", text)));
    }

    void closeExpired(ToLongFunction<Address> maxAgeMs) {
        pool.closeExpired(maxAgeMs);
        awaitingEnd.keySet().stream()
                .filter(connection -> connection.sinceLastReadMs() > END_WAIT_MS)
                .forEach(HttpConnection::close);
    }
}
