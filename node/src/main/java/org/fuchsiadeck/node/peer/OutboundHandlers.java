package org.fuchsiadeck.node.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;

/**
 * Sets up a connection to a peer. The only frames that come back on it answer heartbeats.
 */
final class OutboundHandlers extends ChannelInitializer<Channel> {
    private static final Logger LOG = Logger.getLogger(OutboundHandlers.class);

    private final Outbound outbound;

    OutboundHandlers(Outbound outbound) {
        this.outbound = outbound;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(Wire.splitter(), new Answers());
    }

    private final class Answers extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) throws InvalidProtocolBufferException {
            if (Wire.read(in).getType() == Wire.HEARTBEAT_ACK) {
                outbound.acknowledged(ctx.channel());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            outbound.writable(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            outbound.closed(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debugf("step=write peer=%s %s", ctx.channel().remoteAddress(), cause);
            ctx.close();
        }
    }
}
