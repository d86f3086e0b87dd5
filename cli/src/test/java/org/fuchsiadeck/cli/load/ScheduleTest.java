package org.fuchsiadeck.cli.load;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ScheduleTest {
    @Test
    void sameSeedDrawsTheSameRequests() {
        Experiment experiment = Experiments.of("");
        assertThat(Schedule.draw(experiment, 50, 7)).isEqualTo(Schedule.draw(experiment, 50, 7));
        assertThat(Schedule.draw(experiment, 50, 7)).isNotEqualTo(Schedule.draw(experiment, 50, 8));
    }

    @Test
    void requestsAreOrderedNumberedAndNearTheRate() {
        List<Planned> plan = Schedule.draw(Experiments.of(""), 100, 3);
        assertThat(plan).extracting(Planned::atNs).isSorted();
        assertThat(plan.get(plan.size() - 1).number()).isEqualTo(plan.size() - 1);
        assertThat(plan.size()).isBetween(850, 1_150);
        assertThat(count(plan, "small")).isBetween(150L, 250L);
    }

    @Test
    void anActionMultipliesOneTeamsRateFromItsTimeOn() {
        String action = "[[action]]\nat_s = 5\nteam = \"small\"\nfactor = 10\n";
        List<Planned> plan = Schedule.draw(Experiments.of("poisson = false\n", action), 100, 3);
        List<Planned> before = plan.stream().filter(p -> p.second() < 5).toList();
        List<Planned> after = plan.stream().filter(p -> p.second() >= 5).toList();
        assertThat(count(before, "small")).isBetween(99L, 101L);
        assertThat(count(after, "small")).isBetween(999L, 1_001L);
        assertThat(count(after, "large")).isBetween(399L, 401L);
        assertThat(count(before, "large")).isBetween(399L, 401L);
    }

    @Test
    void refusesMoreRequestsThanItMaySend() {
        Experiment experiment = Experiments.of("").lasting(600);
        assertThatThrownBy(() -> Schedule.draw(experiment, 5_000, 1)).hasMessageContaining("more than 500000");
    }

    private static long count(List<Planned> plan, String team) {
        return plan.stream().filter(p -> p.team().equals(team)).count();
    }
}
