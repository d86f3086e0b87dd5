package org.fuchsiadeck.testbed.http;

import java.io.IOException;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.WorkerThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

import static java.util.Objects.requireNonNull;

/**
 * An HTTP server with one worker thread, which actions must not block. It can be killed and started again on the same port.
 */
public final class StandInServer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private static final int UNLIMITED = -1;

    /** One, so that a request is resumed only once the server is done with handing it over. */
    private static final int WORKERS = 1;

    private static final Logger GRIZZLY_LOG = Logger.getLogger("org.glassfish.grizzly");

    static {
        GRIZZLY_LOG.setLevel(Level.WARNING);
    }

    private final String name;

    private final Routes routes;

    private final Predicate<Exchange> admission;

    private int port;

    private HttpServer server;

    /**
     * Makes a server that admits every request.
     *
     * @param name names its threads
     * @param port the port, 0 for any
     * @param routes what answers
     */
    public StandInServer(String name, int port, Routes routes) {
        this(name, port, routes, x -> true);
    }

    /**
     * Makes a server.
     *
     * @param name names its threads
     * @param port the port, 0 for any
     * @param routes what answers
     * @param admission looks at each request before its body is read; false if it has dealt with the request itself
     */
    public StandInServer(String name, int port, Routes routes, Predicate<Exchange> admission) {
        this.name = requireNonNull(name, "name");
        this.routes = requireNonNull(routes, "routes");
        this.admission = requireNonNull(admission, "admission");
        this.port = port;
    }

    /**
     * Starts to listen; does nothing if it listens already.
     *
     * @throws IOException if the port can't be bound
     */
    public synchronized void start() throws IOException {
        if (server != null) {
            return;
        }
        NetworkListener listener = listener();
        HttpServer next = new HttpServer();
        next.addListener(listener);
        next.getServerConfiguration().addHttpHandler(new Handler(), "/");
        try {
            next.start();
        } catch (IOException e) {
            next.shutdownNow();
            throw e;
        }
        server = next;
        port = listener.getPort();
    }

    /**
     * Closes the listener and every connection at once.
     */
    public synchronized void kill() {
        if (server != null) {
            server.shutdownNow();
            server = null;
        }
    }

    @Override
    public void close() {
        kill();
    }

    /**
     * Tells whether it listens.
     *
     * @return true between start and kill
     */
    public synchronized boolean isRunning() {
        return server != null;
    }

    /**
     * Gives the address.
     *
     * @return {@code host:port}; the port is known once started
     */
    public synchronized String address() {
        return HOST + ":" + port;
    }

    private NetworkListener listener() {
        NetworkListener listener = new NetworkListener(name, HOST, port);
        TCPNIOTransport transport = listener.getTransport();
        transport.setIOStrategy(WorkerThreadIOStrategy.getInstance());
        transport.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                .setPoolName(name)
                .setCorePoolSize(WORKERS)
                .setMaxPoolSize(WORKERS));
        transport.setSelectorRunnersCount(1);
        transport.setTcpNoDelay(true);
        listener.registerAddOn((l, chain) -> chain.add(chain.indexOfType(TransportFilter.class) + 1, new ReadGate()));
        listener.getKeepAlive().setIdleTimeoutInSeconds(UNLIMITED);
        listener.getKeepAlive().setMaxRequestsCount(UNLIMITED);
        return listener;
    }

    private static boolean hasBody(Request request) {
        return request.getContentLengthLong() > 0 || request.getRequest().isChunked();
    }

    private final class Handler extends HttpHandler {
        private final RequestExecutorProvider sameThread = new RequestExecutorProvider.SameThreadProvider();

        Handler() {
            super(name);
            setAllowEncodedSlash(true);
        }

        @Override
        public RequestExecutorProvider getRequestExecutorProvider() {
            return sameThread;
        }

        @Override
        public void service(Request request, Response response) {
            Exchange x = new Exchange(request, response);
            response.suspend();
            if (!admission.test(x)) {
                return;
            }
            if (!hasBody(request)) {
                run(x);
                return;
            }
            BodyReader.read(request.getNIOInputStream(), text -> {
                x.body(text);
                run(x);
            });
        }

        private void run(Exchange x) {
            x.begin();
            routes.run(x);
            x.watch();
        }
    }
}
