package org.fuchsiadeck.node.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.node.client.ConnectHandler;
import org.fuchsiadeck.node.client.HttpClient;
import org.fuchsiadeck.node.client.HttpConnection;
import org.fuchsiadeck.node.exchange.AttemptControl;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.Journal;
import org.fuchsiadeck.node.run.EffectHandler;
import org.fuchsiadeck.node.run.EventSink;

/**
 * Sends requests to backend servers and reports what becomes of each attempt.
 */
public final class BackendClient {
    private final HttpClient client;
    private final Supplier<Configuration> configuration;
    private final BackendIo io;
    private final ConnectionAges ages;
    private final Counter attempts;
    private final Counter reused;

    /**
     * Creates a client.
     *
     * @param client makes the connections
     * @param protocol how requests are written and answers are read
     * @param events takes what becomes of the attempts
     * @param configuration gives the configuration in force
     * @param log writes numbered events
     * @param metrics where the client reports its figures
     * @param maxAnswerBytes the longest plain answer, in bytes
     */
    public BackendClient(
            HttpClient client,
            BackendProtocol protocol,
            EventSink events,
            Supplier<Configuration> configuration,
            EffectHandler<Effect.Log> log,
            MetricRegistry metrics,
            int maxAnswerBytes) {
        this.client = client;
        this.configuration = configuration;
        this.io = new BackendIo(protocol, events, log, metrics, maxAnswerBytes);
        this.ages = new ConnectionAges(configuration, System::currentTimeMillis);
        this.attempts = metrics.counter("backend.attempts");
        this.reused = metrics.counter("backend.connections_reused");
    }

    /**
     * Creates a client that speaks the project's own protocol.
     *
     * @param client makes the connections
     * @param events takes what becomes of the attempts
     * @param configuration gives the configuration in force
     * @param log writes numbered events
     * @param metrics where the client reports its figures
     * @param maxAnswerBytes the longest plain answer, in bytes
     */
    public BackendClient(
            HttpClient client,
            EventSink events,
            Supplier<Configuration> configuration,
            EffectHandler<Effect.Log> log,
            MetricRegistry metrics,
            int maxAnswerBytes) {
        this(client, new StandardBackendProtocol(), events, configuration, log, metrics, maxAnswerBytes);
    }

    /**
     * Starts an attempt, which takes the place of all earlier ones of the request. If a KV cache is to be taken over, the
     * earlier attempt goes on until the cache is exported.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     */
    public void dispatch(Exchange exchange, RequestEffect.Dispatch dispatch) {
        AtomicReference<Optional<CacheHandle>> cache = new AtomicReference<>(Optional.empty());
        Attempt attempt = new Attempt(exchange, dispatch, () -> opening(exchange, dispatch, cache.get()), io);
        if (!exchange.open(dispatch.attempt(), attempt)) {
            return;
        }
        attempts.inc();
        Consumer<Optional<CacheHandle>> go = handle -> {
            cache.set(handle);
            exchange.endEarlier(dispatch.attempt());
            begin(attempt, dispatch);
        };
        dispatch.importFrom()
                .ifPresentOrElse(
                        from -> CacheHandle.export(client, from.address(), dispatch.id(), go),
                        () -> go.accept(Optional.empty()));
    }

    private Attempt.Opening opening(Exchange exchange, RequestEffect.Dispatch dispatch, Optional<CacheHandle> cache) {
        CallerRequest call = exchange.call();
        Optional<Route> route = configuration.get().findRoute(call.origin().host(), call.method(), call.path());
        Journal journal = exchange.journal();
        BackendProtocol.Past past = new BackendProtocol.Past(journal, cache);
        return new Attempt.Opening(io.protocol().request(exchange, dispatch, route, past), journal.tokens());
    }

    private void begin(Attempt attempt, RequestEffect.Dispatch dispatch) {
        try {
            connect(attempt, dispatch, ages.maxMs(dispatch.backend()));
        } catch (RuntimeException e) {
            attempt.onFailed(e.toString());
        }
    }

    private void connect(Attempt attempt, RequestEffect.Dispatch dispatch, long maxAgeMs) {
        Address address = dispatch.backend().address();
        Optional<HttpConnection> kept = io.pool().take(address, dispatch.maxIdleMs(), maxAgeMs);
        if (kept.isPresent()) {
            reused.inc();
            attempt.onConnected(kept.get());
            return;
        }
        client.connect(address, watched(attempt));
    }

    /**
     * Ends an attempt and closes its connection.
     *
     * @param exchange the caller's request
     * @param attempt the attempt
     */
    public void cancel(Exchange exchange, int attempt) {
        AttemptControl control = exchange.control(attempt);
        if (control != null) {
            control.fail(Failure.Kind.CLOSED, "cancelled");
            exchange.forget(attempt);
        }
    }

    /** Closes idle connections that are too old; called now and then. */
    public void sweep() {
        io.sweep(ages::maxMs);
        ages.forget(io.pool().addresses());
    }

    /**
     * Counts the idle connections.
     *
     * @return their number, by address
     */
    public Map<String, Integer> idleConnections() {
        return io.pool().counts();
    }

    private ConnectHandler watched(Attempt attempt) {
        return new ConnectHandler() {
            @Override
            public void onConnected(HttpConnection connection) {
                connection.setCallbacks(
                        () -> io.closed(connection),
                        d -> io.stale(connection.peer().toString(), d));
                attempt.onConnected(connection);
            }

            @Override
            public void onFailed(String detail) {
                attempt.onFailed(detail);
            }
        };
    }
}
