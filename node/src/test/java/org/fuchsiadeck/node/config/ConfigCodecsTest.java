package org.fuchsiadeck.node.config;

import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.config.ConfigMessage;
import org.fuchsiadeck.node.peer.MessageCodec;
import org.fuchsiadeck.node.testing.WireCopy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ConfigCodecsTest {
    static Stream<ConfigMessage> messages() {
        return Stream.of(
                new ConfigMessage.Announce(0),
                new ConfigMessage.Announce(Long.MAX_VALUE),
                new ConfigMessage.Announce(7, 5, 3, 250),
                new ConfigMessage.Query(),
                new ConfigMessage.Query(3),
                new ConfigMessage.Fetch(),
                new ConfigMessage.Offer(7, "{\"text\":\"ভাত\"}"));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void readsBackWhatItWrote(ConfigMessage message) throws Exception {
        assertThat(WireCopy.of(ConfigCodecs.all(), message)).isEqualTo(message);
    }

    @Test
    void refusesWhatItCannotRead() {
        MessageCodec<?> offer = ConfigCodecs.all().stream()
                .filter(c -> c.type() == ConfigMessage.Offer.class)
                .findFirst()
                .orElseThrow();
        ByteString cut = ByteString.copyFrom(new byte[] {9});
        assertThatThrownBy(() -> offer.decode().decode(cut)).isInstanceOf(InvalidProtocolBufferException.class);
        assertThatIllegalArgumentException().isThrownBy(() -> offer.decode().decode(ByteString.EMPTY));
    }
}
