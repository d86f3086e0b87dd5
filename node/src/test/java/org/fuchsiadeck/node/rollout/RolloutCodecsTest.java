package org.fuchsiadeck.node.rollout;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.Condemnation;
import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.Histogram;
import org.fuchsiadeck.core.rollout.RolloutMessage;
import org.fuchsiadeck.core.rollout.Tally;
import org.fuchsiadeck.node.peer.MessageCodec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutCodecsTest {
    static List<RolloutMessage> messages() {
        Tally tally = new Tally(3, 1, 2, Histogram.EMPTY.add(12).add(900), Histogram.EMPTY.add(40));
        Evidence total = new Evidence(TreeMap.of(new Evidence.Cell("v2", "notice", 1), tally));
        ServiceVersion version = new ServiceVersion("assistant", "v2");
        return List.of(
                new RolloutMessage.Observed("assistant", 4, total, Evidence.EMPTY),
                new RolloutMessage.Condemned(List.of(new Condemnation(version, 4, "3 of 4 answers bad"))),
                new RolloutMessage.Digest(-1, 0),
                new RolloutMessage.Offer(9, "rollout ..."));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void readsWhatItWrote(PeerMessage message) throws Exception {
        assertThat(copy(codec(message), message)).isEqualTo(message);
    }

    private static MessageCodec<?> codec(PeerMessage message) {
        return RolloutCodecs.all().stream()
                .filter(c -> c.type().isInstance(message))
                .findFirst()
                .orElseThrow();
    }

    private static <M extends PeerMessage> PeerMessage copy(MessageCodec<M> codec, PeerMessage message)
            throws Exception {
        MessageLite proto = codec.encode().apply(codec.type().cast(message));
        return codec.decode().decode(ByteString.copyFrom(proto.toByteArray()));
    }
}
