package org.fuchsiadeck.node.peer;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.fuchsiadeck.node.peer.generated.Frame;

/**
 * The form of a frame on a connection: its length in four bytes, then the protobuf {@link Frame}.
 */
final class Wire {
    /** The largest frame, in bytes. A larger one closes its connection. */
    static final int MAX_FRAME_BYTES = 4 << 20;

    /** The frame type that asks whether the connection is alive. */
    static final int HEARTBEAT = 1;

    /** The frame type that answers {@link #HEARTBEAT}. */
    static final int HEARTBEAT_ACK = 2;

    private static final int LENGTH_BYTES = 4;

    private Wire() {}

    static LengthFieldBasedFrameDecoder splitter() {
        return new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    static Frame frame(String from, String to, int type, ByteString payload) {
        return Frame.newBuilder()
                .setFrom(from)
                .setTo(to)
                .setType(type)
                .setPayload(payload)
                .build();
    }

    static Frame heartbeat(String from, int type) {
        return frame(from, "", type, ByteString.EMPTY);
    }

    static ByteBuf write(ByteBufAllocator allocator, Frame frame) {
        int size = frame.getSerializedSize();
        ByteBuf out = allocator.buffer(LENGTH_BYTES + size);
        out.writeInt(size);
        try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
            frame.writeTo(stream);
            return out;
        } catch (IOException e) {
            out.release();
            throw new UncheckedIOException("cannot write a frame of type " + frame.getType(), e);
        }
    }

    static Frame read(ByteBuf in) throws InvalidProtocolBufferException {
        return Frame.parseFrom(in.nioBuffer());
    }
}
