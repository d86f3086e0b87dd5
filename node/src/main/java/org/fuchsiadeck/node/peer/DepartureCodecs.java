package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.directory.DirectoryMessage;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.request.LeavingBackend;
import org.fuchsiadeck.node.peer.generated.DepartedBackendProto;
import org.fuchsiadeck.node.peer.generated.DepartureQueryProto;
import org.fuchsiadeck.node.peer.generated.DeparturesProto;
import org.fuchsiadeck.node.peer.generated.LeavingBackendProto;

/**
 * The codecs of what entry nodes tell each other of leaving and removed backend servers.
 */
public final class DepartureCodecs {
    private DepartureCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 50 to 52
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(50, LeavingBackend.class, DepartureCodecs::leaving, DepartureCodecs::leaving),
                new MessageCodec<>(51, DirectoryMessage.Query.class, DepartureCodecs::query, DepartureCodecs::query),
                new MessageCodec<>(
                        52,
                        DirectoryMessage.Departures.class,
                        DepartureCodecs::departures,
                        DepartureCodecs::departures));
    }

    private static DepartureQueryProto query(DirectoryMessage.Query m) {
        return DepartureQueryProto.newBuilder()
                .setNumber(m.number())
                .setRevision(m.revision())
                .build();
    }

    private static DirectoryMessage.Query query(ByteString payload) throws InvalidProtocolBufferException {
        DepartureQueryProto p = DepartureQueryProto.parseFrom(payload);
        return new DirectoryMessage.Query(p.getNumber(), p.getRevision());
    }

    private static DeparturesProto departures(DirectoryMessage.Departures m) {
        DeparturesProto.Builder builder = DeparturesProto.newBuilder()
                .setNumber(m.number())
                .setSinceRevision(m.sinceRevision())
                .setRevision(m.revision())
                .setAgeMs(m.ageMs());
        for (DirectoryMessage.DepartedBackend departed : m.departed()) {
            builder.addDeparted(DepartedBackendProto.newBuilder()
                    .setKey(departed.key())
                    .setRevision(departed.revision())
                    .setRemoved(departed.removed()));
        }
        return builder.build();
    }

    private static DirectoryMessage.Departures departures(ByteString payload) throws InvalidProtocolBufferException {
        DeparturesProto p = DeparturesProto.parseFrom(payload);
        List<DirectoryMessage.DepartedBackend> departed = p.getDepartedList().stream()
                .map(d -> new DirectoryMessage.DepartedBackend(d.getKey(), d.getRevision(), d.getRemoved()))
                .toList();
        return new DirectoryMessage.Departures(
                p.getNumber(), p.getSinceRevision(), p.getRevision(), p.getAgeMs(), departed);
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
