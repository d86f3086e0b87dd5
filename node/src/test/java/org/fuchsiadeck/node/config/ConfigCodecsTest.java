package org.fuchsiadeck.node.config;

import java.util.stream.Stream;

import org.fuchsiadeck.core.config.ConfigMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ConfigCodecsTest {
    static Stream<ConfigMessage> messages() {
        return Stream.of(
                new ConfigMessage.Announce(0),
                new ConfigMessage.Announce(Long.MAX_VALUE),
                new ConfigMessage.Query(),
                new ConfigMessage.Fetch(),
                new ConfigMessage.Offer(7, "{\"text\":\"ভাত\"}"));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void readsBackWhatItWrote(ConfigMessage message) {
        assertThat(ConfigCodecs.decode(ConfigCodecs.number(message), ConfigCodecs.encode(message)))
                .isEqualTo(message);
    }

    @Test
    void refusesWhatItCannotRead() {
        assertThatIllegalArgumentException().isThrownBy(() -> ConfigCodecs.decode(29, new byte[0]));
        assertThatIllegalArgumentException().isThrownBy(() -> ConfigCodecs.decode(ConfigCodecs.OFFER, new byte[] {9}));
        assertThatIllegalArgumentException().isThrownBy(() -> ConfigCodecs.decode(ConfigCodecs.OFFER, new byte[0]));
    }
}
