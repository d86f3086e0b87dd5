package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a cached policy that differs from the one the configuration resolves. This happens if the cache is
 * still used after an exception has expired, or after the wall clock has gone back past an expiry.
 */
class PolicyCacheTest {
    private static final Configuration CONFIG = new Configuration(
            1,
            Policy.DEFAULT,
            List.of(rule("zone", "sur", 10, 100), rule("zone", "sur", 20, 200), rule("route", "draft", 30, 300)),
            List.of(),
            List.of());

    @Property(seed = "20260412", tries = 500)
    void returnsResolvedPolicyWhenClockJumps(
            @ForAll @IntRange(max = 350) int first,
            @ForAll @IntRange(max = 350) int second,
            @ForAll boolean inSur,
            @ForAll boolean drafts) {
        Subject subject = new Subject(inSur ? "sur" : "norte", "s", "v", "b", drafts ? "draft" : "ask", "t");
        PolicyCache cache = PolicyCache.EMPTY;
        for (long wallMs : new long[] {first, second, first}) {
            cache = cache.validFor(CONFIG, wallMs).withPolicyFor(subject);
            assertThat(cache.find(subject)).contains(CONFIG.policyFor(subject, wallMs));
        }
    }

    @Test
    void appliesExceptionThatMatchesEverySubject() {
        ExceptionRule all = new ExceptionRule("for all", Map.of(), Map.of("weight", 7L), OptionalLong.empty());
        Configuration config = new Configuration(1, Policy.DEFAULT, List.of(all), List.of(), List.of());
        Option<Policy> found = PolicyCache.EMPTY.validFor(config, 0).find(Subject.NONE);
        assertThat(found.get().weight()).isEqualTo(7);
    }

    @Test
    void sharesOnePolicyAmongSubjectsThatNoExceptionDistinguishes() {
        PolicyCache cache = PolicyCache.EMPTY.validFor(CONFIG, 0);
        for (int i = 0; i < 1_000; i++) {
            cache = cache.withPolicyFor(new Subject("norte", "s", "v", "b" + i, "ask", "t" + i));
        }
        assertThat(cache.resolved()).hasSize(1);
        assertThat(cache.validFor(CONFIG, 99)).isSameAs(cache);
        assertThat(cache.validFor(CONFIG, 100)).isNotSameAs(cache);
    }

    private static ExceptionRule rule(String key, String value, long weight, long expiresMs) {
        return new ExceptionRule(
                "for the test", Map.of(key, value), Map.of("weight", weight), OptionalLong.of(expiresMs));
    }
}
