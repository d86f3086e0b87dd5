package org.fuchsiadeck.node.front;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.fuchsiadeck.node.http.RequestGate;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * The HTTP server for callers.
 */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_THREADS = 4;
    private static final int MAX_PENDING_BYTES = 32 << 10;
    private static final int UNLIMITED = -1;

    private final HttpServer server;
    private final ConnectionGuard guard;
    private final ExecutorService pump;
    private final EarlyCalls early;
    private final UnprovenCalls unproven;

    private CallerServer(
            HttpServer server, ConnectionGuard guard, ExecutorService pump, EarlyCalls early, UnprovenCalls unproven) {
        this.server = server;
        this.guard = guard;
        this.pump = pump;
        this.early = early;
        this.unproven = unproven;
    }

    /**
     * Starts the server.
     *
     * @param front what it is made of
     * @return the server
     * @throws IOException if the address can't be bound
     */
    public static CallerServer start(Front front) throws IOException {
        int threads = Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors());
        ExecutorService pump = Executors.newFixedThreadPool(threads, r -> new Thread(r, "caller-writer"));
        ConnectionGuard guard = new ConnectionGuard(
                front.limits().maxConnections(), front.limits().slowSenderTimeoutMs(), front.budget(), front.delays());
        RequestIds ids = new RequestIds(front.node());
        NetworkListener listener = listener(front, threads);
        RefusalLog refusals = new RefusalLog(front.log(), front.metrics());
        CallerCodec codec = new CallerCodec(
                front.limits().maxHeaderBytes(), listener.getKeepAlive(), front.protocol(), ids, refusals);
        RequestGate gate = new RequestGate(
                front.limits().maxHeaderBytes(), new MalformedRequests(front.protocol(), ids, refusals));
        listener.registerAddOn((l, builder) -> arrange(builder, guard, gate, codec));
        HttpServer server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration().setMaxPostSize(UNLIMITED);
        server.getServerConfiguration().setPassTraceRequest(true);
        EarlyCalls early = new EarlyCalls(front.configuration(), pump, front.log());
        UnprovenCalls unproven = new UnprovenCalls(front.configuration(), pump);
        server.getServerConfiguration()
                .addHttpHandler(new CallerHandler(front, refusals, ids, pump, early, unproven, guard::isDraining), "/");
        try {
            server.start();
        } catch (IOException e) {
            early.close();
            unproven.close();
            server.shutdownNow();
            pump.shutdownNow();
            throw e;
        }
        return new CallerServer(server, guard, pump, early, unproven);
    }

    private static NetworkListener listener(Front front, int threads) {
        NetworkListener listener = new NetworkListener(
                "callers", front.address().host(), front.address().port());
        listener.getKeepAlive().setMaxRequestsCount(UNLIMITED);
        listener.getKeepAlive().setIdleTimeoutInSeconds(UNLIMITED);
        listener.setMaxPendingBytes(MAX_PENDING_BYTES);
        TCPNIOTransport transport = listener.getTransport();
        transport.setIOStrategy(SameThreadIOStrategy.getInstance());
        transport.setSelectorRunnersCount(threads);
        transport.setTcpNoDelay(true);
        return listener;
    }

    private static void arrange(
            FilterChainBuilder builder, ConnectionGuard guard, RequestGate gate, CallerCodec codec) {
        int index = builder.indexOfType(HttpServerFilter.class);
        builder.set(index, codec);
        builder.add(index, gate);
        builder.add(index, guard);
    }

    /**
     * Returns how many callers' connections are open.
     *
     * @return the number
     */
    public int connections() {
        return guard.connections();
    }

    /**
     * Returns how many requests have not had the last byte of their answer.
     *
     * @return the number
     */
    public int unfinished() {
        return guard.unfinished();
    }

    /** Closes each connection from now on after the answer in progress. */
    public void drain() {
        guard.drain();
    }

    /** Gives up callers that send or take nothing for too long; called now and then. */
    public void sweep() {
        guard.sweep();
    }

    /** Closes the server and all its connections. */
    @Override
    public void close() {
        early.close();
        unproven.close();
        server.shutdownNow();
        pump.shutdownNow();
    }
}
