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

/**
 * Guards against a completed rollout that keeps its new version in service although it was condemned afterwards, and
 * against a second rollback of the same rollout.
 */
class StageTransitionsTest {
    private static final Condemnation BAD = new Condemnation(new ServiceVersion("assistant", "v2"), 1, "cut answers");
    private static final VerdictRule.Judgement OPEN = new VerdictRule.Judgement(VerdictRule.Verdict.OPEN, "nothing");

    @Test
    void takesBackCompletedRolloutWhenItsVersionIsCondemnedLater() {
        Rollout done = RolloutFixtures.rollout(1, RolloutStage.DONE);
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutRegistry.EMPTY.with(done), 7)
                .withCondemnations(List.of(BAD));
        assertThat(StageTransitions.nextStage(state, view(), done, r -> OPEN))
                .hasValueSatisfying(r -> assertThat(r.stage()).isEqualTo(RolloutStage.TAKEN_BACK));
    }

    @Test
    void leavesRolloutThatWasTakenBackUnchanged() {
        Rollout takenBack = RolloutFixtures.rollout(1, RolloutStage.TAKEN_BACK);
        RolloutState state = RolloutState.initial()
                .withSaved(RolloutRegistry.EMPTY.with(takenBack), 7)
                .withCondemnations(List.of(BAD));
        assertThat(StageTransitions.nextStage(state, view(), takenBack, r -> OPEN))
                .isEmpty();
    }

    private static View view() {
        Identity self = new Identity(new NodeId("0"), new Zone("norte"), new Address("127.0.0.1", 1), 1);
        return new View(
                self,
                0,
                RolloutFixtures.DUE_MS,
                Configuration.NONE,
                RolloutState.initial().shares(),
                new Peers(new TreeMap<>()));
    }
}
