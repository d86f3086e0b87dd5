package org.fuchsiadeck.node.testing;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.node.peer.MessageCodec;

/** Writes messages as peers would and reads them again. */
public final class WireCopy {
    private WireCopy() {}

    public static PeerMessage of(List<MessageCodec<?>> codecs, PeerMessage message)
            throws InvalidProtocolBufferException {
        MessageCodec<?> codec = codecs.stream()
                .filter(c -> c.type().isInstance(message))
                .findFirst()
                .orElseThrow();
        return codec.decode().decode(ByteString.copyFrom(bytes(codec, message)));
    }

    private static <M extends PeerMessage> byte[] bytes(MessageCodec<M> codec, PeerMessage message) {
        MessageLite proto = codec.encode().apply(codec.type().cast(message));
        return proto.toByteArray();
    }
}
