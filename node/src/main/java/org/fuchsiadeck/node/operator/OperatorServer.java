package org.fuchsiadeck.node.operator;

import java.io.IOException;

import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.http.RequestGate;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The HTTP server for operators.
 */
public final class OperatorServer implements AutoCloseable {
    private static final int MAX_REQUEST_BYTES = 1 << 10;
    private static final int MAX_HEAD_BYTES = 8 << 10;
    private static final int THREADS = 2;

    private final HttpServer server;

    private OperatorServer(HttpServer server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param address where it listens
     * @param token what operators prove themselves with
     * @param operations what they may see and do
     * @return the server
     * @throws IOException if the address can't be bound
     */
    public static OperatorServer start(Address address, String token, Operations operations) throws IOException {
        NetworkListener listener = new NetworkListener("operators", address.host(), address.port());
        listener.getTransport().setSelectorRunnersCount(1);
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getTransport()
                .setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("operators")
                        .setCorePoolSize(THREADS)
                        .setMaxPoolSize(THREADS));
        RequestGate gate = new RequestGate(MAX_HEAD_BYTES, OperatorCodec::reject);
        listener.registerAddOn((l, builder) -> {
            int index = builder.indexOfType(HttpServerFilter.class);
            builder.set(index, new OperatorCodec(MAX_HEAD_BYTES, listener.getKeepAlive()));
            builder.add(index, gate);
        });
        HttpServer server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration().setMaxPostSize(MAX_REQUEST_BYTES);
        server.getServerConfiguration().addHttpHandler(new OperatorHandler(token, operations), "/");
        try {
            server.start();
        } catch (IOException e) {
            server.shutdownNow();
            throw e;
        }
        return new OperatorServer(server);
    }

    /** Closes the server. */
    @Override
    public void close() {
        server.shutdownNow();
    }
}
