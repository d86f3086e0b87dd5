package org.fuchsiadeck.node.backend;

import java.util.Map;
import java.util.Optional;
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
import org.glassfish.grizzly.http.HttpPacket;

/**
 * Sends requests to backend servers and reports what becomes of each attempt.
 */
public final class BackendClient {
    private final HttpClient client;
    private final Supplier<Configuration> configuration;
    private final BackendIo io;
    private final Counter attempts;
    private final Counter reused;

    /**
     * Creates a client.
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
        this.client = client;
        this.configuration = configuration;
        this.io = new BackendIo(events, log, metrics, maxAnswerBytes);
        this.attempts = metrics.counter("backend.attempts");
        this.reused = metrics.counter("backend.connections_reused");
    }

    /**
     * Starts an attempt.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     */
    public void dispatch(Exchange exchange, RequestEffect.Dispatch dispatch) {
        Configuration config = configuration.get();
        CallerRequest call = exchange.call();
        Journal journal = exchange.journal();
        Route route = config.route(call.method(), call.path()).orElse(null);
        Supplier<HttpPacket> request = () -> RequestWriter.write(exchange, dispatch, route, journal);
        Attempt attempt = new Attempt(exchange, dispatch, request, journal.tokens(), io);
        if (!exchange.open(dispatch.attempt(), attempt)) {
            return;
        }
        attempts.inc();
        try {
            connect(attempt, dispatch, config.defaults().connectionMaxAgeMs());
        } catch (RuntimeException e) {
            attempt.failed(e.toString());
        }
    }

    private void connect(Attempt attempt, RequestEffect.Dispatch dispatch, long maxAgeMs) {
        Address address = dispatch.backend().address();
        Optional<HttpConnection> kept = io.pool().take(address, dispatch.freshMs(), maxAgeMs);
        if (kept.isPresent()) {
            reused.inc();
            attempt.connected(kept.get());
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
        io.sweep(configuration.get().defaults().connectionMaxAgeMs());
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
            public void connected(HttpConnection connection) {
                connection.watch(
                        () -> io.closed(connection),
                        d -> io.stale(connection.peer().toString(), d));
                attempt.connected(connection);
            }

            @Override
            public void failed(String detail) {
                attempt.failed(detail);
            }
        };
    }
}
