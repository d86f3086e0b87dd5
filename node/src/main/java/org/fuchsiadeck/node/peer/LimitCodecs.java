package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.request.ServerLimitMessage;
import org.fuchsiadeck.node.peer.generated.LimitChangedProto;
import org.fuchsiadeck.node.peer.generated.LimitGrantProto;
import org.fuchsiadeck.node.peer.generated.LimitQueryProto;

/**
 * The codecs of what entry nodes tell each other of the limits of backend servers.
 */
public final class LimitCodecs {
    private LimitCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 90 to 92
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(90, ServerLimitMessage.Changed.class, LimitCodecs::changed, LimitCodecs::changed),
                new MessageCodec<>(91, ServerLimitMessage.Query.class, LimitCodecs::query, LimitCodecs::query),
                new MessageCodec<>(92, ServerLimitMessage.Grant.class, LimitCodecs::grant, LimitCodecs::grant));
    }

    private static LimitChangedProto changed(ServerLimitMessage.Changed m) {
        return LimitChangedProto.newBuilder()
                .setBackend(m.backend().value())
                .setPerSecond(m.perSecond())
                .setActive(m.active())
                .setAgeMs(m.ageMs())
                .build();
    }

    private static ServerLimitMessage.Changed changed(ByteString payload) throws InvalidProtocolBufferException {
        LimitChangedProto p = LimitChangedProto.parseFrom(payload);
        return new ServerLimitMessage.Changed(
                new BackendId(p.getBackend()), p.getPerSecond(), p.getActive(), p.getAgeMs());
    }

    private static LimitQueryProto query(ServerLimitMessage.Query m) {
        return LimitQueryProto.newBuilder()
                .setBackend(m.backend().value())
                .setPerSecond(m.perSecond())
                .setAgeMs(m.ageMs())
                .setWanted(m.wanted())
                .build();
    }

    private static ServerLimitMessage.Query query(ByteString payload) throws InvalidProtocolBufferException {
        LimitQueryProto p = LimitQueryProto.parseFrom(payload);
        return new ServerLimitMessage.Query(
                new BackendId(p.getBackend()), p.getPerSecond(), p.getAgeMs(), p.getWanted());
    }

    private static LimitGrantProto grant(ServerLimitMessage.Grant m) {
        return LimitGrantProto.newBuilder()
                .setBackend(m.backend().value())
                .setCount(m.count())
                .setWaitMs(m.waitMs())
                .build();
    }

    private static ServerLimitMessage.Grant grant(ByteString payload) throws InvalidProtocolBufferException {
        LimitGrantProto p = LimitGrantProto.parseFrom(payload);
        return new ServerLimitMessage.Grant(new BackendId(p.getBackend()), p.getCount(), p.getWaitMs());
    }
}
