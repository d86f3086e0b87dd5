package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class BookTextTest {
    @Test
    void readsWhatItWrote() {
        RolloutBook book = RolloutBook.EMPTY
                .with(Rollouts.rollout(3, Stage.HALF))
                .with(new Condemnation(new ServiceVersion("assistant", "v0 beta"), 2, "3 of 4 = bad %20"));
        assertThat(BookText.read(BookText.write(book))).isEqualTo(book);
    }

    @Test
    void namesTheLineThatItCannotRead() {
        String text = BookText.write(RolloutBook.EMPTY.with(Rollouts.rollout(1, Stage.EARLY))) + "nonsense a=b\n";
        assertThatThrownBy(() -> BookText.read(text))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("line 3: unknown entry nonsense");
    }

    @Test
    void greaterRolloutNumberIsTheOnlyWayPastCondemned() {
        ServiceVersion v2 = new ServiceVersion("assistant", "v2");
        RolloutBook book =
                RolloutBook.EMPTY.with(Rollouts.rollout(1, Stage.EARLY)).with(new Condemnation(v2, 1, "bad"));
        assertThat(book.condemnation(v2)).isPresent();
        assertThat(book.with(Rollouts.rollout(1, Stage.FULL)).condemnation(v2)).isPresent();
        assertThat(book.with(Rollouts.rollout(2, Stage.EARLY)).condemnation(v2)).isEmpty();
    }
}
