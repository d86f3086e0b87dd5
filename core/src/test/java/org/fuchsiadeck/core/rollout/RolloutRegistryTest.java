package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a version that stays barred after it took over in a later rollout, and against a condemnation that is
 * lifted without such a rollout.
 */
class RolloutRegistryTest {
    private static final ServiceVersion V2 = new ServiceVersion("assistant", "v2");
    private static final Condemnation FIRST = new Condemnation(V2, 1, "5 of 5 answers bad");

    @Test
    void versionThatTookOverInLaterRolloutIsNoLongerCondemned() {
        RolloutRegistry registry = RolloutRegistry.EMPTY
                .with(FIRST)
                .with(RolloutFixtures.rollout(2, RolloutStage.DONE))
                .with(RolloutFixtures.rollout(3, "v2", "v3"));
        assertThat(registry.activeCondemnation(V2)).isEmpty();
        assertThat(RegistryFormat.parse(RegistryFormat.serialize(registry)).activeCondemnation(V2))
                .isEmpty();
    }

    @Test
    void condemnationStaysInForceWhenLaterRolloutWasTakenBack() {
        RolloutRegistry registry = RolloutRegistry.EMPTY
                .with(FIRST)
                .with(RolloutFixtures.rollout(2, RolloutStage.TAKEN_BACK))
                .with(RolloutFixtures.rollout(3, "v1", "v3"));
        assertThat(registry.activeCondemnation(V2)).contains(FIRST);
    }

    @Test
    void condemnationOfTheRolloutThatTookOverStaysInForce() {
        Condemnation late = new Condemnation(V2, 2, "cut answers");
        RolloutRegistry registry = RolloutRegistry.EMPTY
                .with(RolloutFixtures.rollout(2, RolloutStage.DONE))
                .with(RolloutFixtures.rollout(3, "v1", "v3"))
                .with(late);
        assertThat(registry.activeCondemnation(V2)).contains(late);
    }
}
