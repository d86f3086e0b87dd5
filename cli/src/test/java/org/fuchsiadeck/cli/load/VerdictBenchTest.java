package org.fuchsiadeck.cli.load;

import org.fuchsiadeck.core.rollout.SequentialRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class VerdictBenchTest {
    private static final int RUNS = 2;

    private final VerdictBench bench = new VerdictBench(new SequentialRule());

    @ParameterizedTest
    @EnumSource(VerdictCase.class)
    void sequentialRuleCondemnsTheBadVersionsOnly(VerdictCase kind) {
        assertThat(bench.runs(kind, RUNS)).allMatch(e -> e.condemned() == kind.bad());
    }

    @Test
    void sameSeedsGiveTheSameRuns() {
        assertThat(bench.runs(VerdictCase.SLOWER_BY_HALF, RUNS))
                .isEqualTo(bench.runs(VerdictCase.SLOWER_BY_HALF, RUNS));
    }
}
