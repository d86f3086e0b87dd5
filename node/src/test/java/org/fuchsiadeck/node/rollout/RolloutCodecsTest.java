package org.fuchsiadeck.node.rollout;

import java.util.List;

import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.Condemnation;
import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.Histogram;
import org.fuchsiadeck.core.rollout.RolloutMessage;
import org.fuchsiadeck.core.rollout.Tally;
import org.fuchsiadeck.node.testing.WireCopy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutCodecsTest {
    static List<RolloutMessage> messages() {
        Tally tally = new Tally(
                3, 1, 2, Histogram.EMPTY.withDuration(12).withDuration(900), Histogram.EMPTY.withDuration(40));
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
        assertThat(WireCopy.of(RolloutCodecs.all(), message)).isEqualTo(message);
    }
}
