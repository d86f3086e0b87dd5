package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.request.LeavingBackend;
import org.fuchsiadeck.node.peer.generated.LeavingBackendProto;

/**
 * The codec of what entry nodes tell each other of leaving backend servers.
 */
public final class DepartureCodecs {
    private DepartureCodecs() {}

    /**
     * Returns the codec.
     *
     * @return the codec, number 50
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(50, LeavingBackend.class, DepartureCodecs::leaving, DepartureCodecs::leaving));
    }

    private static LeavingBackendProto leaving(LeavingBackend m) {
        return LeavingBackendProto.newBuilder()
                .setBackend(m.backend().value())
                .setLeftMs(m.remainingMs())
                .build();
    }

    private static LeavingBackend leaving(ByteString payload) throws InvalidProtocolBufferException {
        LeavingBackendProto p = LeavingBackendProto.parseFrom(payload);
        return new LeavingBackend(new BackendId(p.getBackend()), p.getLeftMs());
    }
}
