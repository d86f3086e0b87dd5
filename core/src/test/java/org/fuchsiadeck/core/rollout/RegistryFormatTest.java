package org.fuchsiadeck.core.rollout;

import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a registry that is parsed into something other than was serialized, which restarted nodes would act on,
 * and against invalid lines that are reported without their number.
 */
class RegistryFormatTest {
    @Test
    void parsesWhatItSerialized() {
        RolloutRegistry registry = RolloutRegistry.EMPTY
                .with(RolloutFixtures.rollout(3, RolloutStage.HALF))
                .with(new Condemnation(new ServiceVersion("assistant", "v0 beta"), 2, "3 of 4 = bad %20"));
        assertThat(RegistryFormat.parse(RegistryFormat.serialize(registry))).isEqualTo(registry);
    }

    @Test
    void reportsNumberOfInvalidLine() {
        String text =
                RegistryFormat.serialize(RolloutRegistry.EMPTY.with(RolloutFixtures.rollout(1, RolloutStage.EARLY)))
                        + "nonsense a=b\n";
        assertThatThrownBy(() -> RegistryFormat.parse(text))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("line 3: unknown entry nonsense");
    }

    @Test
    void onlyRolloutWithGreaterNumberSupersedesCondemnation() {
        ServiceVersion v2 = new ServiceVersion("assistant", "v2");
        RolloutRegistry registry = RolloutRegistry.EMPTY
                .with(RolloutFixtures.rollout(1, RolloutStage.EARLY))
                .with(new Condemnation(v2, 1, "bad"));
        assertThat(registry.activeCondemnation(v2)).isPresent();
        assertThat(registry.with(RolloutFixtures.rollout(1, RolloutStage.FULL)).activeCondemnation(v2))
                .isPresent();
        assertThat(registry.with(RolloutFixtures.rollout(2, RolloutStage.EARLY)).activeCondemnation(v2))
                .isEmpty();
    }
}
