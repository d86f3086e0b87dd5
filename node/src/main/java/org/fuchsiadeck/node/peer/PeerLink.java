package org.fuchsiadeck.node.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;

/**
 * Sends messages to other entry nodes and receives theirs. Delivery is not guaranteed: a message may be lost, and
 * nothing says so. Messages to one peer arrive in order, except over the replacement of a connection.
 */
public final class PeerLink implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int INBOUND_IDLE_S = 180;
    private static final long SHUTDOWN_MS = 2_000;

    private final NodeId self;
    private final PeerCodecs codecs;
    private final PeerTraffic traffic;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Channel server;
    private final Bootstrap client;
    private final Map<Address, Outbound> peers = new HashMap<>();

    /**
     * Listens for peers, with metrics of its own.
     *
     * @param self the node's identity
     * @param bind where to listen
     * @param codecs the codecs of all messages
     * @param sink takes each message that arrives, on the event loop; it must not block
     * @throws IllegalStateException if the address cannot be bound
     */
    public PeerLink(Identity self, Address bind, PeerCodecs codecs, Consumer<PeerReceived> sink) {
        this(self, bind, codecs, sink, new MetricRegistry());
    }

    /**
     * Listens for peers.
     *
     * @param self the node's identity
     * @param bind where to listen
     * @param codecs the codecs of all messages
     * @param sink takes each message that arrives, on the event loop; it must not block
     * @param metrics takes the counts of messages and bytes, by direction and kind of message
     * @throws IllegalStateException if the address cannot be bound
     */
    public PeerLink(
            Identity self, Address bind, PeerCodecs codecs, Consumer<PeerReceived> sink, MetricRegistry metrics) {
        this.self = self.id();
        this.codecs = codecs;
        this.traffic = new PeerTraffic(metrics);
        this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        this.loop = group.next();
        this.client = client();
        this.server = listen(bind, sink);
    }

    private static Bootstrap client() {
        return new Bootstrap()
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    private Channel listen(Address bind, Consumer<PeerReceived> sink) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(INBOUND_IDLE_S, 0, 0),
                                        Wire.splitter(),
                                        new Inbound(self, codecs, traffic, sink));
                    }
                })
                .bind(bind.host(), bind.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS);
            throw new IllegalStateException("step=bind peer=" + bind, bound.cause());
        }
        return bound.channel();
    }

    /**
     * Sends a message to a node. The message is dropped if another node listens at the address.
     *
     * @param to where the node listens
     * @param toId the node
     * @param message the message
     * @throws IllegalArgumentException if the message has no codec
     */
    public void send(Address to, NodeId toId, PeerMessage message) {
        enqueue(to, toId.value(), message);
    }

    /**
     * Sends a message to whichever node listens at an address.
     *
     * @param to the address
     * @param message the message
     * @throws IllegalArgumentException if the message has no codec
     */
    public void send(Address to, PeerMessage message) {
        enqueue(to, "", message);
    }

    private void enqueue(Address to, String toId, PeerMessage message) {
        MessageCodec<?> codec = codecs.of(message);
        Outbound.Item item = new Outbound.Item(
                codec.type().getSimpleName(), Wire.frame(self.value(), toId, codec.number(), codec.encoded(message)));
        try {
            loop.execute(() -> outbound(to).send(item));
        } catch (RejectedExecutionException e) {
            traffic.dropped();
        }
    }

    private Outbound outbound(Address to) {
        return peers.computeIfAbsent(to, a -> new Outbound(a, self.value(), loop, client, traffic));
    }

    /** Closes every connection and stops listening. Messages that wait are lost. */
    @Override
    public void close() {
        server.close().awaitUninterruptibly();
        loop.execute(() -> peers.values().forEach(Outbound::close));
        group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
