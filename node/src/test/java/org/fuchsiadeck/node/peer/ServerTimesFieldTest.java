package org.fuchsiadeck.node.peer;

import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.share.ShareReport;
import org.fuchsiadeck.core.share.ShareSum;
import org.fuchsiadeck.core.speed.ServerTimes;
import org.fuchsiadeck.node.testing.WireCopy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against times of servers that are lost on the wire, or that change reports of services without them. */
class ServerTimesFieldTest {
    private static ShareReport report(Map<BackendId, ServerTimes> times) {
        return new ShareReport(
                1, 2, 3, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), true, Map.of(), times);
    }

    @Test
    void readsBackWhatItWrites() throws InvalidProtocolBufferException {
        ShareReport report = report(
                Map.of(new BackendId("a"), new ServerTimes(1.5, 2.25), new BackendId("b"), new ServerTimes(0, 1e6)));
        assertThat(WireCopy.of(ShareCodecs.all(), report)).isEqualTo(report);
        ShareSum sum = new ShareSum(0, 2, ShareSum.REST, 3, report);
        assertThat(WireCopy.of(ShareCodecs.all(), sum)).isEqualTo(sum);
    }

    @Test
    void addsNoByteToAReportWithoutTimes() {
        assertThat(ServerTimesField.write(Map.of()).getSerializedSize()).isZero();
    }

    @Test
    void rejectsASumBelowZero() {
        UnknownFieldSet entry = UnknownFieldSet.newBuilder()
                .addField(
                        1,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(com.google.protobuf.ByteString.copyFromUtf8("a"))
                                .build())
                .addField(2, UnknownFieldSet.Field.newBuilder().addVarint(-5).build())
                .build();
        UnknownFieldSet fields = UnknownFieldSet.newBuilder()
                .addField(
                        13,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(entry.toByteString())
                                .build())
                .build();
        assertThatThrownBy(() -> ServerTimesField.read(fields)).hasMessageContaining("expected a sum");
    }
}
