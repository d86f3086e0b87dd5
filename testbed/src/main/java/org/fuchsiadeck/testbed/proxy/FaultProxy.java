package org.fuchsiadeck.testbed.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import static java.util.Objects.requireNonNull;

/**
 * A TCP proxy with one listener and one target, whose faults are set at run time.
 */
public final class FaultProxy implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private static final long UNBIND_TIMEOUT_NS = 1_000_000_000;

    private static final long UNBIND_PAUSE_NS = 100_000;

    private final InetSocketAddress target;

    private final EventLoopGroup group;

    private final Counters counters = new Counters();

    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private int port;

    private Channel listener;

    private volatile ProxyFaults faults = ProxyFaults.none();

    /**
     * Makes a proxy that does not listen yet.
     *
     * @param port the port, 0 for any
     * @param target {@code host:port}
     * @param group runs the connections
     */
    public FaultProxy(int port, String target, EventLoopGroup group) {
        this.port = port;
        this.group = requireNonNull(group, "group");
        int colon = target.lastIndexOf(':');
        this.target = new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
    }

    /**
     * Starts to listen; does nothing if it listens already.
     *
     * @throws IOException if the port can't be bound
     */
    public synchronized void start() throws IOException {
        if (listener != null) {
            return;
        }
        var bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Acceptor())
                .bind(HOST, port)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("proxy can't listen on port " + port, bound.cause());
        }
        listener = bound.channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Gives the address.
     *
     * @return {@code host:port}; the port is known once started
     */
    public synchronized String address() {
        return HOST + ":" + port;
    }

    /**
     * Gives the target's address.
     *
     * @return {@code host:port}
     */
    public String target() {
        return target.getHostString() + ":" + target.getPort();
    }

    /**
     * Sets the faults in place of those before, and does their actions to every open connection.
     *
     * @param next the faults
     * @throws IOException if the port was closed to new connections and can't be bound again
     */
    public void faults(ProxyFaults next) throws IOException {
        faults = next;
        if (next.refuse()) {
            unbind();
        } else {
            start();
        }
        links.forEach(link -> link.loop().execute(() -> {
            next.actions().forEach(link::act);
            link.pump();
        }));
    }

    /**
     * Counts what went through.
     *
     * @return the counts since the proxy was made
     */
    public ProxyStats stats() {
        return counters.stats(links.size());
    }

    @Override
    public void close() {
        unbind();
        links.forEach(link -> link.loop().execute(link::close));
    }

    private synchronized void unbind() {
        if (listener != null) {
            listener.close().awaitUninterruptibly();
            listener = null;
            awaitFreePort();
        }
    }

    /** Waits until the event loop has let go of the closed listener, which takes connections until then. */
    private void awaitFreePort() {
        long end = System.nanoTime() + UNBIND_TIMEOUT_NS;
        while (!isFree(port) && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(UNBIND_PAUSE_NS);
        }
    }

    private static boolean isFree(int port) {
        try (Socket probe = new Socket()) {
            probe.setReuseAddress(true);
            probe.bind(new InetSocketAddress(HOST, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private final class Acceptor extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel caller) {
            counters.accepted();
            Link link = new Link(caller, () -> faults, counters, links::remove);
            links.add(link);
            if (faults.silenceNew()) {
                link.act(ProxyAction.SILENCE);
            } else {
                link.connect(target);
            }
        }
    }
}
