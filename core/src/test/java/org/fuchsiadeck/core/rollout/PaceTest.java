package org.fuchsiadeck.core.rollout;

import java.util.List;
import java.util.TreeMap;

import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PaceTest {
    private static final Condemnation BAD = new Condemnation(new ServiceVersion("assistant", "v2"), 1, "cut answers");
    private static final VerdictRule.Judgement OPEN = new VerdictRule.Judgement(VerdictRule.Verdict.OPEN, "nothing");

    @Test
    void takesBackARolloutThatEndedBeforeItsVersionWasKnownToBeBad() {
        Rollout done = Rollouts.rollout(1, Stage.DONE);
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutBook.EMPTY.with(done), 7)
                .withCondemned(List.of(BAD));
        assertThat(Pace.next(state, view(), done, r -> OPEN))
                .hasValueSatisfying(r -> assertThat(r.stage()).isEqualTo(Stage.TAKEN_BACK));
    }

    @Test
    void leavesARolloutTakenBackAsItIs() {
        Rollout back = Rollouts.rollout(1, Stage.TAKEN_BACK);
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutBook.EMPTY.with(back), 7)
                .withCondemned(List.of(BAD));
        assertThat(Pace.next(state, view(), back, r -> OPEN)).isEmpty();
    }

    private static View view() {
        Identity self = new Identity(new NodeId("0"), new Zone("norte"), new Address("127.0.0.1", 1), 1);
        return new View(
                self,
                0,
                Rollouts.DUE_MS,
                Configuration.NONE,
                RolloutState.initial().shares(),
                new Peers(new TreeMap<>()));
    }
}
