package org.fuchsiadeck.node.client;

import java.io.IOException;
import java.net.InetSocketAddress;

import org.fuchsiadeck.core.model.Address;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Opens connections to HTTP servers on a shared transport.
 */
public final class HttpClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 10_000;
    private static final int MAX_SELECTORS = 4;
    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final int UNLIMITED = -1;

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;

    private HttpClient(TCPNIOTransport transport, FilterChain chain) {
        this.transport = transport;
        this.connector =
                TCPNIOConnectorHandler.builder(transport).processor(chain).build();
    }

    /**
     * Starts a client with its selector threads.
     *
     * @return the started client
     * @throws IOException if the transport could not be started
     */
    public static HttpClient start() throws IOException {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setName("client")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(
                        Math.min(MAX_SELECTORS, Runtime.getRuntime().availableProcessors()))
                .setReadBufferSize(READ_BUFFER_BYTES)
                .setTcpNoDelay(true)
                .setConnectionTimeout(CONNECT_TIMEOUT_MS)
                .setMaxAsyncWriteQueueSizeInBytes(UNLIMITED)
                .build();
        FilterChain chain = FilterChainBuilder.stateless()
                .add(new SocketReadFilter())
                .add(new ResponseGate(MAX_HEAD_BYTES))
                .add(new ResponseCodec(MAX_HEAD_BYTES))
                .add(new ResponseFilter())
                .build();
        transport.start();
        return new HttpClient(transport, chain);
    }

    /**
     * Opens a connection without blocking.
     *
     * @param address the address of the server
     * @param handler the handler of the connection or the error
     */
    public void connect(Address address, ConnectHandler handler) {
        InetSocketAddress target = new InetSocketAddress(address.host(), address.port());
        connector.connect(target, new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings({"rawtypes", "unchecked"})
            public void completed(Connection connection) {
                handler.onConnected(HttpConnection.attach(connection, address));
            }

            @Override
            public void failed(Throwable error) {
                handler.onFailed(String.valueOf(error.getMessage()));
            }

            @Override
            public void cancelled() {
                handler.onFailed("cancelled");
            }
        });
    }

    /** Closes all connections and stops the transport. */
    @Override
    public void close() throws IOException {
        transport.shutdownNow();
    }
}
