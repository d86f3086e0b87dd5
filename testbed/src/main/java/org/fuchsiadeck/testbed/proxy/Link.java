package org.fuchsiadeck.testbed.proxy;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;

import static org.fuchsiadeck.testbed.proxy.Direction.TO_CALLER;
import static org.fuchsiadeck.testbed.proxy.Direction.TO_TARGET;

/**
 * A caller's connection and the one to the target that goes with it. Both live on one event loop, which alone uses this.
 */
final class Link {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final Channel caller;

    private final Counters counters;

    private final Consumer<Link> onClosed;

    private final Pipe toTarget;

    private final Pipe toCaller;

    private Channel target;

    Link(Channel caller, Supplier<ProxyFaults> faults, Counters counters, Consumer<Link> onClosed) {
        this.caller = caller;
        this.counters = counters;
        this.onClosed = onClosed;
        this.toTarget = new Pipe(TO_TARGET, this, faults, counters);
        this.toCaller = new Pipe(TO_CALLER, this, faults, counters);
        caller.pipeline().addLast(new Side(toTarget));
    }

    void connect(InetSocketAddress address) {
        new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new Side(toCaller))
                .connect(address)
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        connected(f.channel());
                    } else {
                        reset();
                    }
                });
    }

    EventLoop loop() {
        return caller.eventLoop();
    }

    Channel to(Direction way) {
        return way == TO_TARGET ? target : caller;
    }

    private Channel from(Direction way) {
        return way == TO_TARGET ? caller : target;
    }

    /** Starts or stops reading the bytes of a direction at their source. */
    void read(Direction way, boolean on) {
        Channel from = from(way);
        if (from != null && from.config().isAutoRead() != on) {
            from.config().setAutoRead(on);
        }
    }

    void pump() {
        toTarget.pump();
        toCaller.pump();
    }

    void act(ProxyAction action) {
        switch (action) {
            case CUT -> cut();
            case SILENCE -> {
                toTarget.silence();
                toCaller.silence();
            }
            case SILENCE_TO_TARGET -> toTarget.silence();
            case SILENCE_TO_CALLER -> toCaller.silence();
            case HALF_CLOSE_TO_TARGET -> toTarget.halfClose();
            default -> toCaller.halfClose();
        }
    }

    /** Closes both sides as a fault. */
    void cut() {
        counters.cut();
        close();
    }

    void close() {
        toTarget.dropQueue();
        toCaller.dropQueue();
        caller.close();
        if (target != null) {
            target.close();
        }
        onClosed.accept(this);
    }

    void directionEnded(Direction way) {
        boolean sourceClosed = !from(way).isActive();
        if (sourceClosed || toTarget.hasEnded() && toCaller.hasEnded()) {
            close();
        }
    }

    private void connected(Channel channel) {
        target = channel;
        if (!caller.isActive() && !toTarget.isSilent()) {
            close();
            return;
        }
        pump();
    }

    private void reset() {
        caller.config().setOption(ChannelOption.SO_LINGER, 0);
        close();
    }

    private void sideClosed(Pipe from) {
        if (from.isSilent()) {
            closeIfBothClosed();
            return;
        }
        from.takeEnd();
        Pipe back = from == toTarget ? toCaller : toTarget;
        back.dropQueue();
        if (from.hasEnded() || !to(from == toTarget ? TO_TARGET : TO_CALLER).isActive()) {
            close();
        }
    }

    private void closeIfBothClosed() {
        if (!caller.isActive() && (target == null || !target.isActive())) {
            close();
        }
    }

    /** The handler of one side, which feeds the pipe that leads away from it. */
    private final class Side extends ChannelInboundHandlerAdapter {
        private final Pipe away;

        Side(Pipe away) {
            this.away = away;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) {
            away.take((ByteBuf) data);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                away.takeEnd();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            pump();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            sideClosed(away);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
