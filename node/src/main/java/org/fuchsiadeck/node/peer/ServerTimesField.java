package org.fuchsiadeck.node.peer;

import java.util.HashMap;
import java.util.Map;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.speed.ServerTimes;

/**
 * The field of a usage report with the times of backend servers. It is absent in most deployments, and nodes of earlier
 * versions pass over it.
 */
final class ServerTimesField {
    private static final int FIELD = 13;
    private static final int SERVER = 1;
    private static final int OBSERVED_US = 2;
    private static final int EXPECTED_US = 3;
    private static final double US_PER_MS = 1_000;

    private ServerTimesField() {}

    static UnknownFieldSet write(Map<BackendId, ServerTimes> times) {
        UnknownFieldSet.Field.Builder field = UnknownFieldSet.Field.newBuilder();
        times.forEach((id, sums) -> field.addLengthDelimited(UnknownFieldSet.newBuilder()
                .addField(
                        SERVER,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(ByteString.copyFromUtf8(id.value()))
                                .build())
                .addField(OBSERVED_US, number(sums.observedMs()))
                .addField(EXPECTED_US, number(sums.expectedMs()))
                .build()
                .toByteString()));
        return times.isEmpty()
                ? UnknownFieldSet.getDefaultInstance()
                : UnknownFieldSet.newBuilder().addField(FIELD, field.build()).build();
    }

    private static UnknownFieldSet.Field number(double ms) {
        return UnknownFieldSet.Field.newBuilder()
                .addVarint(Math.round(ms * US_PER_MS))
                .build();
    }

    static Map<BackendId, ServerTimes> read(UnknownFieldSet fields) throws InvalidProtocolBufferException {
        Map<BackendId, ServerTimes> times = new HashMap<>();
        for (ByteString bytes : fields.getField(FIELD).getLengthDelimitedList()) {
            UnknownFieldSet entry = UnknownFieldSet.parseFrom(bytes);
            UnknownFieldSet.Field server = entry.getField(SERVER);
            if (server.getLengthDelimitedList().size() != 1) {
                throw new InvalidProtocolBufferException("expected one server in an entry of the times, got "
                        + server.getLengthDelimitedList().size());
            }
            BackendId id = new BackendId(server.getLengthDelimitedList().get(0).toStringUtf8());
            times.put(id, new ServerTimes(ms(entry, OBSERVED_US), ms(entry, EXPECTED_US)));
        }
        return times;
    }

    private static double ms(UnknownFieldSet entry, int field) throws InvalidProtocolBufferException {
        long us = entry.getField(field).getVarintList().stream()
                .reduce((first, last) -> last)
                .orElse(0L);
        if (us < 0) {
            throw new InvalidProtocolBufferException("expected a sum of times of 0 or more, got " + us + " us");
        }
        return us / US_PER_MS;
    }
}
