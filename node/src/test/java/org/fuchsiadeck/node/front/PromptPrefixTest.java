package org.fuchsiadeck.node.front;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PromptPrefixTest {
    @Test
    void hashesEachSixteenWords() {
        assertThat(PromptPrefix.of(words(0, 15)).hashes()).isEmpty();
        assertThat(PromptPrefix.of(words(0, 16)).hashes()).hasSize(1);
        assertThat(PromptPrefix.of(words(0, 5_000)).hashes()).hasSize(64);
        assertThat(PromptPrefix.of(words(0, 5_000)).words()).isEqualTo(5_000);
    }

    @Test
    void givesEqualHashesToEqualBeginningsWhateverTheSpace() {
        List<Long> one = PromptPrefix.of(words(0, 40)).hashes();
        List<Long> other = PromptPrefix.of("  " + words(0, 32).replace(" ", "\n ") + " other end")
                .hashes();
        assertThat(one).isEqualTo(other);
    }

    @Test
    void tellsWordsApart() {
        assertThat(PromptPrefix.of("ab c" + words(0, 16)).hashes())
                .isNotEqualTo(PromptPrefix.of("a bc" + words(0, 16)).hashes());
    }

    private static String words(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "w" + i).collect(Collectors.joining(" "));
    }
}
