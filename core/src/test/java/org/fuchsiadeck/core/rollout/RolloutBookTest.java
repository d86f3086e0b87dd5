package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutBookTest {
    private static final ServiceVersion V2 = new ServiceVersion("assistant", "v2");
    private static final Condemnation FIRST = new Condemnation(V2, 1, "5 of 5 answers bad");

    @Test
    void versionThatTookOverLaterKeepsItsTrafficInTheNextRollout() {
        RolloutBook book = RolloutBook.EMPTY
                .with(FIRST)
                .with(Rollouts.rollout(2, Stage.DONE))
                .with(Rollouts.rollout(3, "v2", "v3"));
        assertThat(book.condemnation(V2)).isEmpty();
        assertThat(BookText.read(BookText.write(book)).condemnation(V2)).isEmpty();
    }

    @Test
    void condemnedStaysInForceWhenTheLaterRolloutWasTakenBack() {
        RolloutBook book = RolloutBook.EMPTY
                .with(FIRST)
                .with(Rollouts.rollout(2, Stage.TAKEN_BACK))
                .with(Rollouts.rollout(3, "v1", "v3"));
        assertThat(book.condemnation(V2)).contains(FIRST);
    }

    @Test
    void condemnedOfTheRolloutThatTookOverIsInForceAfterIt() {
        Condemnation late = new Condemnation(V2, 2, "cut answers");
        RolloutBook book = RolloutBook.EMPTY
                .with(Rollouts.rollout(2, Stage.DONE))
                .with(Rollouts.rollout(3, "v1", "v3"))
                .with(late);
        assertThat(book.condemnation(V2)).contains(late);
    }
}
