package org.fuchsiadeck.core.rollout;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

import org.fuchsiadeck.core.request.AttemptObserved;
import org.fuchsiadeck.core.request.AttemptObserved.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against good versions that are condemned because of noise, load or cold caches, and against bad versions that
 * are condemned too late or called good before every route was sampled.
 */
class SequentialRuleTest {
    private static final int TRIALS = 100;
    private static final int ATTEMPTS = 400;

    private final VerdictRule rule = new SequentialRule();
    private final Rollout rollout = RolloutFixtures.rollout(1, RolloutStage.EARLY);

    @Test
    void neverCondemnsGoodVersionsUnderNoisyLoad() {
        for (int seed = 0; seed < TRIALS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Evidence evidence = createNoisyOldEvidence(random);
            for (int i = 0; i < ATTEMPTS; i++) {
                evidence = evidence.withAttempt(createNoisyAttempt(random, "v2"));
                assertThat(rule.judge(rollout, evidence).verdict()).isNotEqualTo(VerdictRule.Verdict.BAD);
            }
            assertThat(rule.judge(rollout, evidence).verdict()).isEqualTo(VerdictRule.Verdict.GOOD);
        }
    }

    @Test
    void condemnsVersionsThatAlwaysFailWithinTenAnswers() {
        assertThat(answersUntilBad(i -> RolloutFixtures.attempt("v2", "notice", Verdict.FAILED, -1)))
                .isLessThanOrEqualTo(10);
    }

    @Test
    void condemnsVersionsThatCutOneAnswerInFive() {
        assertThat(answersUntilBad(
                        i -> RolloutFixtures.attempt("v2", "notice", i % 5 == 0 ? Verdict.CORRUPT : Verdict.GOOD, 50)))
                .isLessThan(ATTEMPTS);
    }

    @Test
    void condemnsVersionsThatAreTwiceAsSlow() {
        SplittableRandom random = new SplittableRandom(7);
        assertThat(answersUntilBad(
                        i -> RolloutFixtures.attempt("v2", "notice", Verdict.GOOD, 160 + random.nextInt(80))))
                .isLessThan(60);
    }

    @Test
    void condemnsVersionsThatFailOnOneRouteOnly() {
        assertThat(answersUntilBad(i -> i % 4 == 0
                        ? RolloutFixtures.attempt("v2", "summary", Verdict.FAILED, -1)
                        : RolloutFixtures.attempt("v2", "notice", Verdict.GOOD, 50)))
                .isLessThan(40);
    }

    @Test
    void condemnsVersionsWhoseFailuresSpreadOverManyRoutes() {
        assertThat(answersUntilBad(i -> RolloutFixtures.attempt("v2", "route-" + i % 8, Verdict.FAILED, -1)))
                .isLessThanOrEqualTo(8);
    }

    @Test
    void staysOpenAtHalfStageUntilThatStageIsSampled() {
        Evidence evidence = createNoisyOldEvidence(new SplittableRandom(3));
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(
                    RolloutFixtures.attempt("v2", i % 2 == 0 ? "notice" : "summary", Verdict.GOOD, 80));
        }
        Rollout half = RolloutFixtures.rollout(1, RolloutStage.HALF);
        assertThat(rule.judge(rollout, evidence).verdict()).isEqualTo(VerdictRule.Verdict.GOOD);
        assertThat(rule.judge(half, evidence).verdict()).isEqualTo(VerdictRule.Verdict.OPEN);
        for (int i = 0; i < 40; i++) {
            AttemptObserved attempt =
                    RolloutFixtures.attempt("v2", i % 2 == 0 ? "notice" : "summary", Verdict.GOOD, 80);
            evidence = evidence.withAttempt(attempt, RolloutStage.HALF);
        }
        assertThat(rule.judge(half, evidence).verdict()).isEqualTo(VerdictRule.Verdict.GOOD);
    }

    @Test
    void staysOpenUntilEveryRouteIsSampled() {
        Evidence evidence = createNoisyOldEvidence(new SplittableRandom(3));
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(RolloutFixtures.attempt("v2", "notice", Verdict.GOOD, 80));
        }
        assertThat(rule.judge(rollout, evidence).verdict()).isEqualTo(VerdictRule.Verdict.OPEN);
    }

    @Test
    void neverCondemnsGoodVersionsWhoseLoadDoublesAtHalfOfTheTraffic() {
        for (int seed = 0; seed < TRIALS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Evidence evidence = Evidence.EMPTY;
            for (int i = 0; i < 10 * ATTEMPTS; i++) {
                String version = random.nextInt(20) == 0 ? "v2" : "v1";
                evidence = evidence.withAttempt(createEngineAttempt(random, version, 60, 20), RolloutStage.EARLY);
            }
            Evidence recent = Evidence.EMPTY;
            for (int i = 0; i < ATTEMPTS; i++) {
                AttemptObserved attempt = createEngineAttempt(random, i % 2 == 0 ? "v1" : "v2", 120, 40);
                evidence = evidence.withAttempt(attempt, RolloutStage.HALF);
                recent = recent.withAttempt(attempt, RolloutStage.HALF);
                assertThat(rule.judge(rollout, evidence, recent).verdict()).isNotEqualTo(VerdictRule.Verdict.BAD);
            }
        }
    }

    @Test
    void neverCondemnsGoodVersionsForPrefixCachesThatFill() {
        SplittableRandom random = new SplittableRandom(5);
        Evidence evidence = Evidence.EMPTY;
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(createEngineAttempt(random, "v1", 60, 20));
        }
        for (int i = 0; i < 100; i++) {
            evidence = evidence.withAttempt(createEngineAttempt(random, "v2", 300, 20));
            assertThat(rule.judge(rollout, evidence, evidence).verdict()).isNotEqualTo(VerdictRule.Verdict.BAD);
        }
    }

    @Test
    void condemnsVersionsWhoseFirstBytesStaySlowWithFullCaches() {
        SplittableRandom random = new SplittableRandom(6);
        Evidence evidence = Evidence.EMPTY;
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(createEngineAttempt(random, "v1", 60, 20));
        }
        for (int i = 0; i < 220; i++) {
            evidence = evidence.withAttempt(createEngineAttempt(random, "v2", 300, 20));
        }
        assertThat(rule.judge(rollout, evidence, evidence).verdict()).isEqualTo(VerdictRule.Verdict.BAD);
    }

    @Test
    void condemnsEnginesThatTakeTwiceTheTimePerToken() {
        SplittableRandom random = new SplittableRandom(8);
        Evidence evidence = Evidence.EMPTY;
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(createEngineAttempt(random, "v1", 60, 20));
        }
        for (int i = 0; i < 60; i++) {
            evidence = evidence.withAttempt(createEngineAttempt(random, "v2", 60, 40));
        }
        assertThat(rule.judge(rollout, evidence).verdict()).isEqualTo(VerdictRule.Verdict.BAD);
    }

    private static AttemptObserved createEngineAttempt(
            SplittableRandom random, String version, int firstByteMs, int perTokenMs) {
        double noise = 0.8 + 0.4 * random.nextDouble();
        return new AttemptObserved(
                "notice",
                RolloutFixtures.backend(version),
                Verdict.GOOD,
                Math.round(firstByteMs * noise),
                perTokenMs * noise,
                2);
    }

    private int answersUntilBad(IntFunction<AttemptObserved> answer) {
        Evidence evidence = createNoisyOldEvidence(new SplittableRandom(11));
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(answer.apply(i));
            if (rule.judge(rollout, evidence).verdict() == VerdictRule.Verdict.BAD) {
                return i + 1;
            }
        }
        return Integer.MAX_VALUE;
    }

    private static Evidence createNoisyOldEvidence(SplittableRandom random) {
        Evidence evidence = Evidence.EMPTY;
        for (int i = 0; i < ATTEMPTS; i++) {
            evidence = evidence.withAttempt(createNoisyAttempt(random, "v1"));
        }
        return evidence;
    }

    private static AttemptObserved createNoisyAttempt(SplittableRandom random, String version) {
        String route = List.of("notice", "summary").get(random.nextInt(2));
        boolean fails = random.nextInt(200) == 0;
        int firstByteMs = 60 + random.nextInt(60) + (random.nextInt(20) == 0 ? 100 : 0);
        return RolloutFixtures.attempt(version, route, fails ? Verdict.FAILED : Verdict.GOOD, fails ? -1 : firstByteMs);
    }
}
