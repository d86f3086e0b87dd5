package org.fuchsiadeck.node.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.BackendId;
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

import static java.util.Objects.requireNonNull;

/**
 * Sends requests to backend servers and reports the progress and outcome of each attempt as events.
 */
public final class BackendClient {
    private final HttpClient client;
    private final Supplier<Configuration> configuration;
    private final AttemptResources resources;
    private final ConnectionAgeLimits ageLimits;
    private final Counter attempts;
    private final Counter reused;
    private final Counter callerChecks;
    private final BooleanSupplier behind;

    /**
     * The parts of the node's current state that attempts read when they start to write.
     *
     * @param configuration supplies the configuration in force
     * @param departed returns whether a server has left
     * @param behind returns whether the node is short of processor time, so that a caller may have left unnoticed
     */
    public record CurrentState(
            Supplier<Configuration> configuration, Predicate<BackendId> departed, BooleanSupplier behind) {
        public CurrentState {
            requireNonNull(configuration, "configuration");
            requireNonNull(departed, "departed");
            requireNonNull(behind, "behind");
        }
    }

    /**
     * Creates a client.
     *
     * @param client opens connections
     * @param protocol serializes requests and parses answers
     * @param events receives the events of the attempts
     * @param current reads the node's current state
     * @param log writes log events
     * @param metrics the registry of the client's counters
     * @param maxAnswerBytes the maximum length of an answer that is not streamed, in bytes
     */
    public BackendClient(
            HttpClient client,
            BackendProtocol protocol,
            EventSink events,
            CurrentState current,
            EffectHandler<Effect.Log> log,
            MetricRegistry metrics,
            int maxAnswerBytes) {
        this.client = client;
        this.configuration = current.configuration();
        this.resources = new AttemptResources(protocol, events, log, metrics, maxAnswerBytes, current.departed());
        this.behind = current.behind();
        this.ageLimits = new ConnectionAgeLimits(current.configuration(), System::currentTimeMillis);
        this.attempts = metrics.counter("backend.attempts");
        this.reused = metrics.counter("backend.connections_reused");
        this.callerChecks = metrics.counter("backend.caller_checks");
    }

    /**
     * Creates a client that uses the standard protocol and takes no server for departed.
     *
     * @param client opens connections
     * @param events receives the events of the attempts
     * @param configuration supplies the current configuration
     * @param log writes log events
     * @param metrics the registry of the client's counters
     * @param maxAnswerBytes the maximum length of an answer that is not streamed, in bytes
     */
    public BackendClient(
            HttpClient client,
            EventSink events,
            Supplier<Configuration> configuration,
            EffectHandler<Effect.Log> log,
            MetricRegistry metrics,
            int maxAnswerBytes) {
        this(
                client,
                new StandardBackendProtocol(),
                events,
                new CurrentState(configuration, id -> false, () -> false),
                log,
                metrics,
                maxAnswerBytes);
    }

    /**
     * Starts an attempt that replaces all earlier attempts of the request. If a KV cache is to be imported, the earlier
     * attempt continues until the engine has answered the export call. If the node is behind, the caller's connection is
     * polled first, since a close may have reached the node that it has not read yet.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     */
    public void dispatch(Exchange exchange, RequestEffect.Dispatch dispatch) {
        AtomicReference<Optional<CacheHandle>> cache = new AtomicReference<>(Optional.empty());
        Attempt attempt =
                new Attempt(exchange, dispatch, () -> createRequest(exchange, dispatch, cache.get()), resources);
        if (!exchange.open(dispatch.attempt(), attempt)) {
            return;
        }
        attempts.inc();
        if (behind.getAsBoolean() && !exchange.isCallerGone()) {
            callerChecks.inc();
            attempt.checkingCaller(true);
            exchange.afterNextPoll(() -> begin(exchange, dispatch, attempt, cache));
            return;
        }
        begin(exchange, dispatch, attempt, cache);
    }

    private void begin(
            Exchange exchange,
            RequestEffect.Dispatch dispatch,
            Attempt attempt,
            AtomicReference<Optional<CacheHandle>> cache) {
        attempt.checkingCaller(false);
        if (!attempt.mayStart()) {
            return;
        }
        Consumer<Optional<CacheHandle>> startWithCache = handle -> {
            cache.set(handle);
            exchange.endEarlier(dispatch.attempt());
            start(attempt, dispatch);
        };
        dispatch.importFrom()
                .ifPresentOrElse(
                        from -> CacheHandle.export(client, from.address(), dispatch.id(), startWithCache),
                        () -> startWithCache.accept(Optional.empty()));
    }

    private Attempt.OutgoingRequest createRequest(
            Exchange exchange, RequestEffect.Dispatch dispatch, Optional<CacheHandle> cache) {
        CallerRequest call = exchange.call();
        Optional<Route> route = configuration.get().findRoute(call.origin().host(), call.method(), call.path());
        Journal journal = exchange.journal();
        BackendProtocol.ResumeState resumeState = new BackendProtocol.ResumeState(journal, cache);
        return new Attempt.OutgoingRequest(
                resources.protocol().createRequest(exchange, dispatch, route, resumeState), journal.tokens());
    }

    private void start(Attempt attempt, RequestEffect.Dispatch dispatch) {
        try {
            connect(attempt, dispatch, ageLimits.maxAgeMs(dispatch.backend()));
        } catch (RuntimeException e) {
            attempt.onFailed(e.toString());
        }
    }

    private void connect(Attempt attempt, RequestEffect.Dispatch dispatch, long maxAgeMs) {
        Address address = dispatch.backend().address();
        Optional<HttpConnection> pooled = resources.pool().take(address, dispatch.maxIdleMs(), maxAgeMs);
        if (pooled.isPresent()) {
            reused.inc();
            attempt.onConnected(pooled.get());
            return;
        }
        client.connect(address, watchConnection(attempt));
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

    /** Closes idle connections that have reached their maximum age. Must be called periodically. */
    public void closeExpiredConnections() {
        resources.closeExpired(ageLimits::maxAgeMs);
        ageLimits.evictUnused(resources.pool().addresses());
    }

    /**
     * Returns the number of idle connections to each server.
     *
     * @return the number of idle connections, by address
     */
    public Map<String, Integer> idleConnections() {
        return resources.pool().counts();
    }

    private ConnectHandler watchConnection(Attempt attempt) {
        return new ConnectHandler() {
            @Override
            public void onConnected(HttpConnection connection) {
                connection.setCallbacks(
                        () -> resources.onClosed(connection),
                        detail -> resources.logStaleAnswer(connection.peer().toString(), detail));
                attempt.onConnected(connection);
            }

            @Override
            public void onFailed(String detail) {
                attempt.onFailed(detail);
            }
        };
    }
}
