package org.fuchsiadeck.node.peer;

import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.node.peer.generated.Frame;
import org.jboss.logging.Logger;

/**
 * The receiving end of one connection that a peer opened. A frame that cannot be read is dropped; a frame over the size
 * limit closes the connection.
 */
final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = Logger.getLogger(Inbound.class);

    private final NodeId self;
    private final PeerCodecs codecs;
    private final PeerTraffic traffic;
    private final Consumer<PeerReceived> sink;

    Inbound(NodeId self, PeerCodecs codecs, PeerTraffic traffic, Consumer<PeerReceived> sink) {
        this.self = self;
        this.codecs = codecs;
        this.traffic = traffic;
        this.sink = sink;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
        int bytes = in.readableBytes();
        try {
            received(ctx, Wire.read(in), bytes);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            traffic.malformed();
            reject(ctx, "decode", e);
        }
    }

    private void received(ChannelHandlerContext ctx, Frame frame, int bytes) throws InvalidProtocolBufferException {
        if (frame.getType() == Wire.HEARTBEAT) {
            Frame answer = Wire.heartbeat(self.value(), Wire.HEARTBEAT_ACK);
            ctx.writeAndFlush(Wire.write(ctx.alloc(), answer));
            return;
        }
        if (!frame.getTo().isEmpty() && !frame.getTo().equals(self.value())) {
            traffic.misdirected();
            return;
        }
        MessageCodec<?> codec = codecs.of(frame.getType())
                .orElseThrow(() -> new IllegalArgumentException("no codec for type " + frame.getType()));
        PeerReceived event =
                new PeerReceived(new NodeId(frame.getFrom()), codec.decode().decode(frame.getPayload()));
        traffic.received(codec.type().getSimpleName(), bytes);
        sink.accept(event);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            traffic.malformed();
        }
        reject(ctx, "read", cause);
        ctx.close();
    }

    private static void reject(ChannelHandlerContext ctx, String step, Throwable cause) {
        LOG.warnf(
                "%d step=%s peer=%s %s",
                EventCode.PEER_FRAME_REJECTED.number(), step, ctx.channel().remoteAddress(), cause);
    }
}
